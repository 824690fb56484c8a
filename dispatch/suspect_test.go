package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/google/go-cmp/cmp"
)

// Guards against suspects that run beside each other at one upstream: if it crashes, all
// but one of them would be put into quarantine for a crash of another.
func TestSchedulerSeparatesSuspects(t *testing.T) {
	for name, grouped := range map[string]bool{
		"single upstreams": false,
		"ranks":            true,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScheduler(3, 4)
				suspect := dispatch.Request{
					Service: service,
					Grouped: grouped,
					Suspect: true,
				}
				used := make(map[foxtailstack.UpstreamName]bool)
				var last *dispatch.Reservation
				for range 3 {
					last = reserve(t, s, suspect)
					used[last.Upstream.Name] = true
				}
				if diff := cmp.Diff(3, len(used)); diff != "" {
					t.Errorf("upstreams of three suspects (-want +got):\n%s", diff)
				}
				reserve(t, s, dispatch.Request{Grouped: grouped}) // others are not held up
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				time.AfterFunc(100*time.Millisecond, func() {
					last.Release(dispatch.Report{Outcome: dispatch.Answered})
				})
				began := time.Now()
				fourth, err := s.Acquire(ctx, suspect)
				if err != nil {
					t.Fatal("a fourth suspect got no upstream after one was free:", err)
				}
				if diff := cmp.Diff(last.Upstream.Name, fourth.Upstream.Name); diff != "" {
					t.Errorf("upstream of the fourth suspect (-want +got):\n%s", diff)
				}
				if time.Since(began) < 100*time.Millisecond {
					t.Error("a fourth suspect ran beside another")
				}
			})
		})
	}
}
