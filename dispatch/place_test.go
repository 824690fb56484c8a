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

// placed returns a request with the last of some suspects in its prompt.
func placed(suspects ...uint64) dispatch.Request {
	return dispatch.Request{
		Service:   service,
		Grouped:   true,
		Suspect:   true,
		Placement: suspects,
	}
}

// Guards against requests with the same suspect part that reach several ranks from several
// entries and crash them all, and against those with different ones that share a rank, so
// that its crash tells less.
func TestSuspectPartsArePlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspects := []uint64{7, 19, 3, 31} // the same modulo four, but for one
		want := []foxtailstack.UpstreamName{"u3", "u0", "u1", "u2"}
		for range 3 {
			s := newScheduler(4, 1)
			// Other requests, which fill a rank, do not change the place.
			reserve(t, s, dispatch.Request{Grouped: true})
			var got []foxtailstack.UpstreamName
			for i := range suspects {
				got = append(got, reserve(t, s, placed(suspects[:i+1]...)).Upstream.Name)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("ranks of suspects (-want +got):\n%s", diff)
			}
		}
	})
}

// Guards against more suspects than ranks: they share ranks, but not at the same time.
func TestMoreSuspectsThanRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(2, 4)
		first := reserve(t, s, placed(0))
		reserve(t, s, placed(0, 1))
		time.AfterFunc(time.Second, func() { first.Release(dispatch.Report{Outcome: dispatch.Answered}) })
		began := time.Now()
		third, err := s.Acquire(t.Context(), placed(0, 1, 2))
		if err != nil {
			t.Fatal("a third suspect got no rank:", err)
		}
		if diff := cmp.Diff(first.Upstream.Name, third.Upstream.Name); diff != "" {
			t.Errorf("rank of the third suspect (-want +got):\n%s", diff)
		}
		if time.Since(began) < time.Second {
			t.Error("a third suspect ran beside another")
		}
	})
}

// Guards against a suspect part that crashes a rank as soon as its group works again,
// before the requests that waited meanwhile are answered, and against one that probes the
// group.
func TestSuspectPartsWaitForGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(3, 4)
		reserve(t, s, dispatch.Request{Grouped: true}).Release(dispatch.Report{Outcome: dispatch.GroupBroken})
		began := time.Now()
		const brokenFor = 500 * time.Millisecond
		time.AfterFunc(brokenFor, func() {
			reserve(t, s, dispatch.Request{Grouped: true}).ResponseStarted()
		})
		_, err := s.Acquire(t.Context(), placed(1))
		if err != nil {
			t.Fatal("acquire:", err)
		}
		waited := time.Since(began)
		if waited < brokenFor+time.Second || waited > brokenFor+1100*time.Millisecond {
			t.Errorf("a suspect was sent %s after its group broke, want a second after it works again", waited)
		}
	})
}

// Guards against a group that stays broken for an entry because all its requests are
// suspects, and none probes it.
func TestSuspectProbesIdleGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(3, 4)
		reserve(t, s, dispatch.Request{Grouped: true}).Release(dispatch.Report{Outcome: dispatch.GroupBroken})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := s.Acquire(ctx, placed(1))
		if err != nil {
			t.Error("a suspect did not probe a group that no other request was sent to:", err)
		}
	})
}
