package dispatch_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/google/go-cmp/cmp"
)

// testPause is the time for which the upstreams of these tests want no requests.
const testPause = 2 * time.Second

// pauseUpstream lets the next upstream ask for a pause and returns its name.
func pauseUpstream(t *testing.T, s *dispatch.Scheduler) foxtailstack.UpstreamName {
	t.Helper()
	r := reserve(t, s, dispatch.Request{})
	r.Pause(testPause)
	r.Release(dispatch.Report{Outcome: dispatch.Refused})
	return r.Upstream.Name
}

// Guards against requests to an upstream that has asked for a pause, whether others have
// room or not, and against a pause that ends early or never.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(2, 4)
		paused := pauseUpstream(t, s)
		began := time.Now()
		for time.Since(began) < testPause {
			r := reserve(t, s, dispatch.Request{})
			if r.Upstream.Name == paused {
				t.Fatalf("got a request %s after it asked for a pause of %s", time.Since(began), testPause)
			}
			r.Release(dispatch.Report{Outcome: dispatch.Answered})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(testPause / 8)
		used := make(map[foxtailstack.UpstreamName]bool)
		for range 4 {
			used[reserve(t, s, dispatch.Request{}).Upstream.Name] = true
		}
		if !used[paused] {
			t.Error("no request after the pause")
		}
	})
}

// Guards against callers that wait in vain while all upstreams want a pause, those in the
// queue included: each is told at once when the first pause ends.
func TestPauseOfAllEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1, 1)
		held := reserve(t, s, dispatch.Request{Grouped: true})
		result := make(chan error, 1)
		began := time.Now()
		go func() {
			_, err := s.Acquire(t.Context(), dispatch.Request{
				Service: service,
				Grouped: true,
			})
			result <- err
		}()
		synctest.Wait()
		held.Pause(testPause)
		held.Release(dispatch.Report{Outcome: dispatch.Refused})
		var pausedErr *dispatch.PausedError
		if err := <-result; !errors.As(err, &pausedErr) {
			t.Errorf("got error %v in the queue, want a PausedError", err)
		}
		_, err := s.Acquire(t.Context(), dispatch.Request{Service: service})
		if !errors.As(err, &pausedErr) || pausedErr.Wait < testPause || pausedErr.Wait > testPause*9/8 {
			t.Errorf("got error %v, want a PausedError with the pause of %s", err, testPause)
		}
		if diff := cmp.Diff(time.Duration(0), time.Since(began)); diff != "" {
			t.Errorf("time until callers are told (-want +got):\n%s", diff)
		}
	})
}

// Guards against an upstream that never gets a request again because it asks for a pause
// with each refusal.
func TestPauseAgainAndAgainDoesNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1, 4)
		for range 5 {
			pauseUpstream(t, s)
			time.Sleep(testPause * 9 / 8)
		}
	})
}

// Guards against entries that were refused together and all come back at the same moment.
func TestPauseEndsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := make(map[time.Duration]bool)
		for range 12 {
			s := newScheduler(1, 4)
			pauseUpstream(t, s)
			_, err := s.Acquire(t.Context(), dispatch.Request{Service: service})
			var pausedErr *dispatch.PausedError
			if !errors.As(err, &pausedErr) {
				t.Fatalf("got error %v, want a PausedError", err)
			}
			ends[pausedErr.Wait.Round(testPause/80)] = true
		}
		if len(ends) < 3 {
			t.Errorf("12 entries come back at %d different moments", len(ends))
		}
	})
}
