package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
)

const service = foxtailstack.ServiceName("drafts")

// newScheduler returns a scheduler of n upstreams with the given number of slots
// each.
func newScheduler(n, slots int) *dispatch.Scheduler {
	var upstreams []route.Upstream
	for i := range n {
		upstreams = append(upstreams, route.Upstream{
			Name:    foxtailstack.UpstreamName(fmt.Sprintf("u%d", i)),
			Service: service,
			Address: foxtailstack.Address(fmt.Sprintf("10.0.0.%d:1", i)),
			Slots:   slots,
		})
	}
	fleet := route.NewFleet(1, upstreams)
	return &dispatch.Scheduler{Fleet: func() *route.Fleet { return fleet }}
}

// groupName is the group of the upstreams of a scheduler.
const groupName dispatch.GroupName = "g0"

// reserve acquires a reservation, which must be granted at once.
func reserve(t *testing.T, s *dispatch.Scheduler, request dispatch.Request) *dispatch.Reservation {
	t.Helper()
	request.Service = service
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	reservation, err := s.Acquire(ctx, request)
	if err != nil {
		t.Fatalf("no reservation within 1 ms: %v", err)
	}
	return reservation
}

func TestSchedulerSpreadsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(3, 4)
		got := map[foxtailstack.UpstreamName]int{}
		for range 9 {
			got[reserve(t, s, dispatch.Request{}).Upstream.Name]++
		}
		for name, n := range got {
			if n != 3 {
				t.Errorf("%s got %d of 9 requests, want 3", name, n)
			}
		}
	})
}

// One rank of a group becomes slow. Requests sent to it would slow the whole group
// down, so that it must get none while others have free slots.
func TestSchedulerAvoidsSlowRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(3, 12)
		s.ObserveGroup(service, groupName, map[foxtailstack.Address]dispatch.RankLoad{
			"10.0.0.0:1": {Slowdown: 4.7},
			"10.0.0.1:1": {Slowdown: 1},
			"10.0.0.2:1": {Slowdown: 1},
		}, 0)
		for range 12 {
			reservation := reserve(t, s, dispatch.Request{Grouped: true})
			if reservation.Upstream.Name == "u0" {
				t.Fatal("a request went to the slow rank while others were free")
			}
		}
	})
}

// One rank of a group is slow and all others are full. Requests at the slow rank
// would make every pass of the group longer, so that requests must wait for a slot
// at the others. If most ranks are slow, their slots are needed and they must get
// requests.
func TestSchedulerWaitsForFastRank(t *testing.T) {
	report := func(s *dispatch.Scheduler, slowdowns ...float64) {
		ranks := make(map[foxtailstack.Address]dispatch.RankLoad, len(slowdowns))
		for i, slowdown := range slowdowns {
			ranks[foxtailstack.Address(fmt.Sprintf("10.0.0.%d:1", i))] = dispatch.RankLoad{Slowdown: slowdown}
		}
		s.ObserveGroup(service, groupName, ranks, 0)
	}
	fill := func(t *testing.T, s *dispatch.Scheduler) int {
		request := dispatch.Request{
			Service: service,
			Grouped: true,
		}
		for n := 0; ; n++ {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			_, err := s.Acquire(ctx, request)
			cancel()
			if err != nil {
				return n
			}
		}
	}
	for _, test := range []struct {
		name      string
		slowdowns []float64
		want      int
	}{
		{
			name:      "one is slow",
			slowdowns: []float64{4, 1, 1, 1},
			want:      6,
		},
		{
			name:      "one is a little slow",
			slowdowns: []float64{1.2, 1, 1, 1},
			want:      8,
		},
		{
			name:      "most are slow",
			slowdowns: []float64{4, 4, 4, 1},
			want:      8,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScheduler(4, 2)
				report(s, test.slowdowns...)
				if got := fill(t, s); got != test.want {
					t.Errorf("%d requests were sent, want %d", got, test.want)
				}
				time.Sleep(2 * time.Second) // longer than a status is valid
				if got := fill(t, s) > 0; got != (test.want < 8) {
					t.Errorf("after the status expired, more requests were sent: %t, want %t", got, test.want < 8)
				}
			})
		})
	}
}

// The machine of a rank freezes, so that the rank is missing from the status of its
// group. Requests sent to it would be run when the machine resumes, after their
// callers have left. The rank must get none for a time after the status, and then
// requests again.
func TestSchedulerSkipsSilentRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(4, 12)
		statusRanks := map[foxtailstack.Address]dispatch.RankLoad{
			"10.0.0.1:1": {Slowdown: 1},
			"10.0.0.2:1": {Slowdown: 1},
			"10.0.0.3:1": {Slowdown: 1},
		}
		s.ObserveGroup(service, groupName, statusRanks, 0)
		for range 33 {
			if reserve(t, s, dispatch.Request{Grouped: true}).Upstream.Name == "u0" {
				t.Fatal("a request went to the silent rank")
			}
		}
		time.Sleep(1500 * time.Millisecond) // longer than a rank counts as silent after a status
		got := map[foxtailstack.UpstreamName]bool{}
		for range 12 { // the other ranks have three slots left
			got[reserve(t, s, dispatch.Request{Grouped: true}).Upstream.Name] = true
		}
		if !got["u0"] {
			t.Error("the silent rank got no request 1.5 s after the status")
		}
	})
}

// A planner that is cut off reaches few ranks. The ranks missing from its status
// must not count as silent.
func TestSchedulerIgnoresStatusOfFewRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(4, 12)
		s.ObserveGroup(service, groupName, map[foxtailstack.Address]dispatch.RankLoad{"10.0.0.1:1": {Slowdown: 1}}, 0)
		got := map[foxtailstack.UpstreamName]bool{}
		for range 37 { // one more than three ranks have slots for
			got[reserve(t, s, dispatch.Request{Grouped: true}).Upstream.Name] = true
		}
		if len(got) != 4 {
			t.Errorf("%d of 4 ranks got requests, want all", len(got))
		}
	})
}

// Other entries have filled a rank, and its sidecar reports that. The scheduler must
// count their requests until the report expires.
func TestSchedulerCountsRequestsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(2, 12)
		s.ObserveLoad("u0", &exchange.Load{Running: 9})
		for range 8 {
			if reserve(t, s, dispatch.Request{Grouped: true}).Upstream.Name == "u0" {
				t.Fatal("a request went to the rank that other entries have filled")
			}
		}
		time.Sleep(2 * time.Second) // longer than a reported load is used
		if reserve(t, s, dispatch.Request{Grouped: true}).Upstream.Name != "u0" {
			t.Error("no request went to the rank whose reported load has expired")
		}
	})
}

// A rank crashes and its group refuses all requests until its next formation. One
// request at a time must probe the group while the others wait; all are sent once it
// works.
func TestSchedulerProbesBrokenGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(2, 12)
		reserve(t, s, dispatch.Request{Grouped: true}).Release(dispatch.Report{Outcome: dispatch.GroupBroken})
		granted := make(chan *dispatch.Reservation, 5)
		for range 5 {
			go func() {
				reservation, err := s.Acquire(t.Context(), dispatch.Request{
					Service: service,
					Grouped: true,
				})
				if err == nil {
					granted <- reservation
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
		if len(granted) != 1 {
			t.Fatalf("%d requests were sent to the broken group, want one", len(granted))
		}
		probe := <-granted
		probe.Release(dispatch.Report{Outcome: dispatch.GroupBroken})
		time.Sleep(200 * time.Millisecond)
		if len(granted) != 1 {
			t.Fatalf("%d requests were sent after the first probe was refused, want one", len(granted))
		}
		probe = <-granted
		probe.ResponseStarted()
		synctest.Wait()
		if len(granted) != 3 {
			t.Errorf("%d requests were sent once the group worked, want the 3 that waited", len(granted))
		}
	})
}

// A probe sent to a dead machine gets no response. It must not hold up the next probe
// for long (probeTimeout, which is below 1 s).
func TestSchedulerProbesAgainAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(2, 12)
		reserve(t, s, dispatch.Request{Grouped: true}).Release(dispatch.Report{Outcome: dispatch.GroupBroken})
		time.Sleep(200 * time.Millisecond)
		_ = reserve(t, s, dispatch.Request{Grouped: true}) // gets no outcome
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Acquire(ctx, dispatch.Request{
			Service: service,
			Grouped: true,
		})
		if err != nil {
			t.Errorf("no second probe within 1 s of the one that hangs: %v", err)
		}
	})
}

// One of the upstreams that work alone fails requests while its health check passes.
// The scheduler must avoid it.
func TestSchedulerAvoidsFailingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(3, 6)
		got := 0
		for range 60 {
			reservation := reserve(t, s, dispatch.Request{})
			outcome := dispatch.Answered
			if reservation.Upstream.Name == "u1" {
				outcome = dispatch.Failed
				got++
			}
			reservation.Release(dispatch.Report{
				Outcome:      outcome,
				ResponseTime: 60 * time.Millisecond,
			})
		}
		if got > 5 {
			t.Errorf("the failing upstream got %d of 60 requests, want at most 5", got)
		}
	})
}

func TestSchedulerEjectsUnreachableUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(2, 6)
		first := reserve(t, s, dispatch.Request{})
		unreachable := first.Upstream.Name
		first.Release(dispatch.Report{Outcome: dispatch.Unreachable})
		for range 4 {
			if reserve(t, s, dispatch.Request{}).Upstream.Name == unreachable {
				t.Fatal("a request went to the upstream that could not be reached")
			}
		}
		time.Sleep(500 * time.Millisecond)
		if reserve(t, s, dispatch.Request{}).Upstream.Name != unreachable {
			t.Error("the upstream got no request 500 ms after its connection failed")
		}
	})
}

// An upstream has failed a request and no other is ready. The request must be
// refused at once, and not wait for an upstream that may never start.
func TestSchedulerRefusesWithoutCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1, 4)
		request := dispatch.Request{
			Service:  service,
			Excluded: map[foxtailstack.UpstreamName]bool{"u0": true},
		}
		began := time.Now()
		_, err := s.Acquire(t.Context(), request)
		if !errors.Is(err, dispatch.ErrNoUpstream) || time.Since(began) > 0 {
			t.Errorf("Acquire returned %v after %s, want %v at once", err, time.Since(began), dispatch.ErrNoUpstream)
		}
	})
}

// The last upstream that a queued request is allowed at leaves the fleet. The
// request must be refused at once.
func TestSchedulerRefusesOnceCandidatesLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(2, 1)
		before := s.Fleet()
		for range 2 {
			reserve(t, s, dispatch.Request{Grouped: true})
		}
		failed := make(chan error, 1)
		go func() {
			_, err := s.Acquire(t.Context(), dispatch.Request{
				Service:  service,
				Grouped:  true,
				Excluded: map[foxtailstack.UpstreamName]bool{"u0": true},
			})
			failed <- err
		}()
		synctest.Wait()
		shrunk := route.NewFleet(2, before.Ready(service)[:1])
		s.Fleet = func() *route.Fleet { return shrunk }
		s.FleetChanged()
		err := <-failed
		if !errors.Is(err, dispatch.ErrNoUpstream) {
			t.Errorf("got error %v after the last candidate left, want %v", err, dispatch.ErrNoUpstream)
		}
	})
}

func TestSchedulerWithoutUpstreams(t *testing.T) {
	s := newScheduler(0, 0)
	_, err := s.Acquire(t.Context(), dispatch.Request{Service: service})
	if !errors.Is(err, dispatch.ErrNoUpstream) {
		t.Errorf("got error %v, want %v", err, dispatch.ErrNoUpstream)
	}
}

// A service has two groups, one of which has lost a rank and refuses all requests.
// Only its probes may go there; the other group must get all other requests.
func TestSchedulerAvoidsBrokenGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(4, 12)
		for group, ranks := range map[dispatch.GroupName][]foxtailstack.Address{
			"g0": {"10.0.0.0:1", "10.0.0.1:1"},
			"g1": {"10.0.0.2:1", "10.0.0.3:1"},
		} {
			loads := make(map[foxtailstack.Address]dispatch.RankLoad)
			for _, rank := range ranks {
				loads[rank] = dispatch.RankLoad{Slowdown: 1}
			}
			s.ObserveGroup(service, group, loads, 0)
		}
		working := map[foxtailstack.UpstreamName]bool{
			"u2": true,
			"u3": true,
		}
		sentToBroken := 0
		for range 200 {
			reservation := reserve(t, s, dispatch.Request{Grouped: true})
			outcome := dispatch.Answered
			if !working[reservation.Upstream.Name] {
				sentToBroken++
				outcome = dispatch.GroupBroken
			}
			reservation.Release(dispatch.Report{Outcome: outcome})
			time.Sleep(10 * time.Millisecond)
		}
		if sentToBroken > 20 { // 2 s of probes, one every 0.12 s (probeInterval)
			t.Errorf("%d of 200 requests went to the broken group, want at most 20", sentToBroken)
		}
	})
}
