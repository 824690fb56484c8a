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

// newBoard returns a board of n upstreams with so many slots each.
func newBoard(n, slots int) *dispatch.Scheduler {
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

// groupName is the group of all upstreams of a board.
const groupName dispatch.GroupName = "g0"

// take acquires a ticket that must be had at once.
func take(t *testing.T, b *dispatch.Scheduler, ask dispatch.Request) *dispatch.Reservation {
	t.Helper()
	ask.Service = service
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	ticket, err := b.Acquire(ctx, ask)
	if err != nil {
		t.Fatalf("no ticket: %v", err)
	}
	return ticket
}

func TestBoardSpreadsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(3, 4)
		got := map[foxtailstack.UpstreamName]int{}
		for range 9 {
			got[take(t, b, dispatch.Request{}).Upstream.Name]++
		}
		for name, n := range got {
			if n != 3 {
				t.Errorf("%s got %d of 9 requests", name, n)
			}
		}
	})
}

// Pattern: one rank of a group turns slow. Its own requests would slow all.
func TestBoardAvoidsSlowRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(3, 12)
		b.ObserveGroup(service, groupName, map[foxtailstack.Address]dispatch.RankLoad{
			"10.0.0.0:1": {Slowdown: 4.7},
			"10.0.0.1:1": {Slowdown: 1},
			"10.0.0.2:1": {Slowdown: 1},
		}, 0)
		for range 12 {
			ticket := take(t, b, dispatch.Request{Grouped: true})
			if ticket.Upstream.Name == "u0" {
				t.Fatal("a request went to the slow rank while others were free")
			}
		}
	})
}

// Pattern: one rank of a group is slow and all others are full. What it had to do
// would make every pass of the group longer, so that requests wait for the others.
func TestBoardWaitsForFastRank(t *testing.T) {
	tell := func(b *dispatch.Scheduler, paces ...float64) {
		ranks := make(map[foxtailstack.Address]dispatch.RankLoad, len(paces))
		for i, pace := range paces {
			ranks[foxtailstack.Address(fmt.Sprintf("10.0.0.%d:1", i))] = dispatch.RankLoad{Slowdown: pace}
		}
		b.ObserveGroup(service, groupName, ranks, 0)
	}
	fill := func(t *testing.T, b *dispatch.Scheduler) int {
		ask := dispatch.Request{
			Service: service,
			Grouped: true,
		}
		for n := 0; ; n++ {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			_, err := b.Acquire(ctx, ask)
			cancel()
			if err != nil {
				return n
			}
		}
	}
	for _, test := range []struct {
		name  string
		paces []float64
		want  int
	}{
		{
			name:  "one is slow",
			paces: []float64{4, 1, 1, 1},
			want:  6,
		},
		{
			name:  "one is a little slow",
			paces: []float64{1.2, 1, 1, 1},
			want:  8,
		},
		{
			name:  "most are slow",
			paces: []float64{4, 4, 4, 1},
			want:  8,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBoard(4, 2)
				tell(b, test.paces...)
				if got := fill(t, b); got != test.want {
					t.Errorf("%d requests were sent, want %d", got, test.want)
				}
				time.Sleep(2 * time.Second) // nobody says so any more
				if got := fill(t, b) > 0; got != (test.want < 8) {
					t.Errorf("the rank is used again: %t", got)
				}
			})
		})
	}
}

// Pattern: the machine of a rank stands still. Requests sent there would reach it
// when it wakes, after their callers have left.
func TestBoardLeavesSilentRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(4, 12)
		alive := map[foxtailstack.Address]dispatch.RankLoad{
			"10.0.0.1:1": {Slowdown: 1},
			"10.0.0.2:1": {Slowdown: 1},
			"10.0.0.3:1": {Slowdown: 1},
		}
		b.ObserveGroup(service, groupName, alive, 0)
		for range 33 {
			if take(t, b, dispatch.Request{Grouped: true}).Upstream.Name == "u0" {
				t.Fatal("a request went to the rank that does not answer")
			}
		}
		time.Sleep(1500 * time.Millisecond) // no status says so any more
		got := map[foxtailstack.UpstreamName]bool{}
		for range 12 { // the others have three slots left
			got[take(t, b, dispatch.Request{Grouped: true}).Upstream.Name] = true
		}
		if !got["u0"] {
			t.Error("the rank is left out for good")
		}
	})
}

// A planner that reaches few ranks is not believed that the others are silent.
func TestBoardDoubtsCutPlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(4, 12)
		b.ObserveGroup(service, groupName, map[foxtailstack.Address]dispatch.RankLoad{"10.0.0.1:1": {Slowdown: 1}}, 0)
		got := map[foxtailstack.UpstreamName]bool{}
		for range 37 { // more than three ranks have slots for
			got[take(t, b, dispatch.Request{Grouped: true}).Upstream.Name] = true
		}
		if len(got) != 4 {
			t.Errorf("%d of 4 ranks got requests", len(got))
		}
	})
}

// Pattern: other entries have filled a rank, as its sidecar tells.
func TestBoardCountsRequestsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(2, 12)
		b.ObserveLoad("u0", &exchange.Load{Running: 9})
		for range 8 {
			if take(t, b, dispatch.Request{Grouped: true}).Upstream.Name == "u0" {
				t.Fatal("a request went to the rank that others fill")
			}
		}
		time.Sleep(2 * time.Second) // what was told is too old to count
		if take(t, b, dispatch.Request{Grouped: true}).Upstream.Name != "u0" {
			t.Error("a request did not go to the rank that was told of long ago")
		}
	})
}

// Pattern: a rank crashes and its group refuses everything until it opens anew.
// One request at a time finds out; the others wait and go once it works.
func TestBoardProbesBrokenGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(2, 12)
		take(t, b, dispatch.Request{Grouped: true}).Release(dispatch.Report{Outcome: dispatch.GroupBroken})
		granted := make(chan *dispatch.Reservation, 5)
		for range 5 {
			go func() {
				ticket, err := b.Acquire(t.Context(), dispatch.Request{
					Service: service,
					Grouped: true,
				})
				if err == nil {
					granted <- ticket
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
			t.Fatalf("%d requests were sent after the first was refused, want one", len(granted))
		}
		probe = <-granted
		probe.ResponseStarted()
		synctest.Wait()
		if len(granted) != 3 {
			t.Errorf("%d requests were sent once the group worked, want the 3 that waited", len(granted))
		}
	})
}

// A probe that hangs on a dead machine does not hold up the others for good.
func TestBoardProbesAgainAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(2, 12)
		take(t, b, dispatch.Request{Grouped: true}).Release(dispatch.Report{Outcome: dispatch.GroupBroken})
		time.Sleep(200 * time.Millisecond)
		_ = take(t, b, dispatch.Request{Grouped: true}) // it hangs
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.Acquire(ctx, dispatch.Request{
			Service: service,
			Grouped: true,
		})
		if err != nil {
			t.Errorf("no second probe within a second: %v", err)
		}
	})
}

// Pattern: one plain upstream hangs or fails while its health is good.
func TestBoardLeavesFailingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(3, 6)
		got := 0
		for range 60 {
			ticket := take(t, b, dispatch.Request{})
			outcome := dispatch.Answered
			if ticket.Upstream.Name == "u1" {
				outcome = dispatch.Failed
				got++
			}
			ticket.Release(dispatch.Report{
				Outcome:      outcome,
				ResponseTime: 60 * time.Millisecond,
			})
		}
		if got > 5 {
			t.Errorf("the failing upstream got %d of 60 requests", got)
		}
	})
}

func TestBoardShunsUnreachableUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(2, 6)
		first := take(t, b, dispatch.Request{})
		dark := first.Upstream.Name
		first.Release(dispatch.Report{Outcome: dispatch.Unreachable})
		for range 4 {
			if take(t, b, dispatch.Request{}).Upstream.Name == dark {
				t.Fatal("a request went to the upstream that could not be reached")
			}
		}
		time.Sleep(500 * time.Millisecond)
		if take(t, b, dispatch.Request{}).Upstream.Name != dark {
			t.Error("the upstream was not tried again")
		}
	})
}

// Pattern: an upstream has failed a request, and no other is ready. Its caller is
// answered at once and does not wait for one that may never come.
func TestBoardRefusesWhatNoUpstreamSuits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 4)
		ask := dispatch.Request{
			Service:  service,
			Excluded: map[foxtailstack.UpstreamName]bool{"u0": true},
		}
		began := time.Now()
		_, err := b.Acquire(t.Context(), ask)
		if !errors.Is(err, dispatch.ErrNoUpstream) || time.Since(began) > 0 {
			t.Errorf("after %s: %v, want %v at once", time.Since(began), err, dispatch.ErrNoUpstream)
		}
	})
}

// The last upstream that a request may go to leaves while it waits.
func TestBoardRefusesOnceNoUpstreamSuits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(2, 1)
		full := b.Fleet()
		for range 2 {
			take(t, b, dispatch.Request{Grouped: true})
		}
		failed := make(chan error, 1)
		go func() {
			_, err := b.Acquire(t.Context(), dispatch.Request{
				Service:  service,
				Grouped:  true,
				Excluded: map[foxtailstack.UpstreamName]bool{"u0": true},
			})
			failed <- err
		}()
		synctest.Wait()
		rest := route.NewFleet(2, full.Ready(service)[:1])
		b.Fleet = func() *route.Fleet { return rest }
		b.FleetChanged()
		err := <-failed
		if !errors.Is(err, dispatch.ErrNoUpstream) {
			t.Errorf("%v, want %v", err, dispatch.ErrNoUpstream)
		}
	})
}

func TestBoardWithoutUpstreams(t *testing.T) {
	b := newBoard(0, 0)
	_, err := b.Acquire(t.Context(), dispatch.Request{Service: service})
	if !errors.Is(err, dispatch.ErrNoUpstream) {
		t.Errorf("got error %v, want %v", err, dispatch.ErrNoUpstream)
	}
}

// The sum over all entries stays within the share and the slack in any window.
// Pattern: a service of two groups, one of which has lost a rank and refuses all.
// The other goes on getting requests.
func TestBoardLeavesBrokenGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(4, 12)
		for group, ranks := range map[dispatch.GroupName][]foxtailstack.Address{
			"g0": {"10.0.0.0:1", "10.0.0.1:1"},
			"g1": {"10.0.0.2:1", "10.0.0.3:1"},
		} {
			loads := make(map[foxtailstack.Address]dispatch.RankLoad)
			for _, rank := range ranks {
				loads[rank] = dispatch.RankLoad{Slowdown: 1}
			}
			b.ObserveGroup(service, group, loads, 0)
		}
		works := map[foxtailstack.UpstreamName]bool{
			"u2": true,
			"u3": true,
		}
		broken := 0
		for range 200 {
			ticket := take(t, b, dispatch.Request{Grouped: true})
			outcome := dispatch.Answered
			if !works[ticket.Upstream.Name] {
				broken++
				outcome = dispatch.GroupBroken
			}
			ticket.Release(dispatch.Report{Outcome: outcome})
			time.Sleep(10 * time.Millisecond)
		}
		if broken > 20 { // two seconds of probes each 0.12 s
			t.Errorf("%d of 200 requests went to the broken group", broken)
		}
	})
}
