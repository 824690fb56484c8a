package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
)

// Guards against an upstream that fails each request at once, looks idle for that and gets a
// quarter of the requests for as long as it does so, because the others are busy with streams.
func TestFailingUpstreamGetsHardlyAnyWork(t *testing.T) {
	const (
		streams  = 24 // two thirds of the slots of the sound upstreams
		requests = 600
		interval = 20 * time.Millisecond
		most     = requests / 50
	)
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(4, 12)
		for held := 0; held < streams; {
			reservation := reserve(t, s, dispatch.Request{})
			if reservation.Upstream.Name == "u1" {
				reservation.Release(dispatch.Report{Outcome: dispatch.Failed})
				continue
			}
			held++
		}
		first := reserve(t, s, dispatch.Request{})
		first.Release(dispatch.Report{
			Outcome:      dispatch.Answered,
			ResponseTime: interval / 4, // what is expected of upstreams that have not answered
		})
		got := 0
		for range requests {
			reservation := reserve(t, s, dispatch.Request{})
			time.Sleep(interval)
			outcome := dispatch.Answered
			if reservation.Upstream.Name == "u1" {
				outcome = dispatch.Failed
				got++
			}
			reservation.Release(dispatch.Report{
				Outcome:      outcome,
				ResponseTime: interval,
			})
		}
		if got > most {
			t.Errorf("the failing upstream got %d of %d requests, want at most %d", got, requests, most)
		}
	})
}

// Guards against an upstream that stays away from work after it has failed many requests that
// were sent together, as those of a process that crashed.
func TestFailuresTogetherCountAsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(2, 12)
		var failing []*dispatch.Reservation
		for range 24 {
			failing = append(failing, reserve(t, s, dispatch.Request{}))
		}
		time.Sleep(time.Second)
		for _, reservation := range failing {
			if reservation.Upstream.Name == "u1" {
				reservation.Release(dispatch.Report{Outcome: dispatch.Failed})
			}
		}
		time.Sleep(500 * time.Millisecond)
		if reserve(t, s, dispatch.Request{}).Upstream.Name != "u1" {
			t.Error("the upstream got no request 500 ms after the requests that it had failed together")
		}
	})
}
