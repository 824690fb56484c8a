package gateway

import (
	"context"
	"fmt"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// Guards against a request without a reservation and without an error, which makes its
// handler panic: a crash is recorded under an equal one just as its time is over.
func TestReserveFailsIfOutdatedAtItsEnd(t *testing.T) {
	const attempts = 64 // whether the reservation or the end comes first is random
	fleet := route.NewFleet(1, []route.Upstream{{
		Name:    "u0",
		Service: "drafts",
		Slots:   attempts,
	}})
	for i := range attempts {
		list := &quarantine.List{}
		subject := quarantine.Subject{Request: quarantine.FingerprintOf([]byte(fmt.Sprint(i)))}
		ctx, cancel := context.WithCancel(t.Context())
		c := &call{
			gateway: &Gateway{
				Quarantine: &quarantine.Table{List: list},
				Scheduler: &dispatch.Scheduler{Fleet: func() *route.Fleet {
					list.Add(quarantine.Crash{
						Fingerprint: subject.Request,
						ID:          "c1",
						Upstream:    "u1",
					})
					cancel()
					return fleet
				}},
				Log: zap.NewNop(),
			},
			cfg:     &route.Config{},
			route:   &route.Route{MaxAttempts: 1},
			service: "drafts",
			subject: subject,
			sentTo:  make(map[foxtailstack.UpstreamName]bool),
		}
		reservation, _, err := c.reserve(ctx)
		if reservation == nil && err == nil {
			t.Fatal("got neither a reservation nor an error")
		}
	}
}
