package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/route"
)

// Guards against requests that have begun at a silent rank and find no place elsewhere, since
// ranks leave slots free to keep passes short, until their callers leave.
func TestBegunRequestUsesSlotsLeftFreeForShortPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := route.NewFleet(1, []route.Upstream{{
			Name:    "u0",
			Service: "drafts",
			Address: "10.0.0.1:1",
			Slots:   limitSlots,
		}})
		s := &Scheduler{Fleet: func() *route.Fleet { return fleet }}
		s.queue("drafts").group("").slotLimit.cost = limitGap
		acquire := func(begun bool) bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := s.Acquire(ctx, Request{
				Service: "drafts",
				Grouped: true,
				Begun:   begun,
				PassBounds: PassBounds{
					Base:        limitBase,
					MaxEventGap: limitGap,
				},
			})
			return err == nil
		}
		n := 0
		for acquire(false) {
			n++
		}
		if n >= limitSlots {
			t.Fatalf("requests that have not begun use %d of %d slots, want some left free", n, limitSlots)
		}
		for acquire(true) {
			n++
		}
		if n != limitSlots {
			t.Errorf("with those that have begun, %d of %d slots are used, want all", n, limitSlots)
		}
	})
}
