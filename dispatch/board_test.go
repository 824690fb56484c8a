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
func newBoard(n, slots int) *dispatch.Board {
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
	return &dispatch.Board{Fleet: func() *route.Fleet { return fleet }}
}

// groupName is the group of all upstreams of a board.
const groupName dispatch.GroupName = "g0"

// take acquires a ticket that must be had at once.
func take(t *testing.T, b *dispatch.Board, ask dispatch.Ask) *dispatch.Ticket {
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
			got[take(t, b, dispatch.Ask{}).Upstream.Name]++
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
		b.TellGroup(service, groupName, map[foxtailstack.Address]dispatch.RankLoad{
			"10.0.0.0:1": {Pace: 4.7},
			"10.0.0.1:1": {Pace: 1},
			"10.0.0.2:1": {Pace: 1},
		}, 0)
		for range 12 {
			ticket := take(t, b, dispatch.Ask{Grouped: true})
			if ticket.Upstream.Name == "u0" {
				t.Fatal("a request went to the slow rank while others were free")
			}
		}
	})
}

// Pattern: one rank of a group is slow and all others are full. What it had to do
// would make every pass of the group longer, so that requests wait for the others.
func TestBoardWaitsForFastRank(t *testing.T) {
	tell := func(b *dispatch.Board, paces ...float64) {
		ranks := make(map[foxtailstack.Address]dispatch.RankLoad, len(paces))
		for i, pace := range paces {
			ranks[foxtailstack.Address(fmt.Sprintf("10.0.0.%d:1", i))] = dispatch.RankLoad{Pace: pace}
		}
		b.TellGroup(service, groupName, ranks, 0)
	}
	fill := func(t *testing.T, b *dispatch.Board) int {
		ask := dispatch.Ask{
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
			"10.0.0.1:1": {Pace: 1},
			"10.0.0.2:1": {Pace: 1},
			"10.0.0.3:1": {Pace: 1},
		}
		b.TellGroup(service, groupName, alive, 0)
		for range 33 {
			if take(t, b, dispatch.Ask{Grouped: true}).Upstream.Name == "u0" {
				t.Fatal("a request went to the rank that does not answer")
			}
		}
		time.Sleep(1500 * time.Millisecond) // no status says so any more
		got := map[foxtailstack.UpstreamName]bool{}
		for range 12 { // the others have three slots left
			got[take(t, b, dispatch.Ask{Grouped: true}).Upstream.Name] = true
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
		b.TellGroup(service, groupName, map[foxtailstack.Address]dispatch.RankLoad{"10.0.0.1:1": {Pace: 1}}, 0)
		got := map[foxtailstack.UpstreamName]bool{}
		for range 37 { // more than three ranks have slots for
			got[take(t, b, dispatch.Ask{Grouped: true}).Upstream.Name] = true
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
		b.Tell("u0", &exchange.Load{Running: 9})
		for range 8 {
			if take(t, b, dispatch.Ask{Grouped: true}).Upstream.Name == "u0" {
				t.Fatal("a request went to the rank that others fill")
			}
		}
		time.Sleep(2 * time.Second) // what was told is too old to count
		if take(t, b, dispatch.Ask{Grouped: true}).Upstream.Name != "u0" {
			t.Error("a request did not go to the rank that was told of long ago")
		}
	})
}

// Pattern: a backlog after an outage. Those that can be on time go first, the newest
// of them before the others, then those about to be lost, then late ones.
func TestBoardOrdersBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 1)
		holder := take(t, b, dispatch.Ask{Grouped: true})
		now := time.Now()
		asks := map[string]dispatch.Ask{
			"late": {
				Fresh: now.Add(-time.Second),
				Ends:  now.Add(5 * time.Second),
			},
			"fresh": {
				Fresh: now.Add(time.Second),
				Ends:  now.Add(5 * time.Second),
			},
			"fresher": {
				Fresh: now.Add(time.Second),
				Ends:  now.Add(5 * time.Second),
			},
			"nearly lost": {
				Fresh: now.Add(-time.Second),
				Ends:  now.Add(200 * time.Millisecond),
				Needs: 50 * time.Millisecond,
			},
		}
		served := make(chan string, len(asks))
		for _, name := range []string{"late", "fresh", "nearly lost", "fresher"} {
			time.Sleep(time.Millisecond)
			ask := asks[name]
			ask.Service = service
			ask.Grouped = true
			go func() {
				ticket, err := b.Acquire(t.Context(), ask)
				if err != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
				served <- name
				ticket.Done(dispatch.Report{Outcome: dispatch.Answered})
			}()
			synctest.Wait()
		}
		holder.Done(dispatch.Report{Outcome: dispatch.Answered})
		for _, want := range []string{"fresher", "fresh", "nearly lost", "late"} {
			if got := <-served; got != want {
				t.Errorf("%q was served, want %q", got, want)
			}
		}
	})
}

// Requests that are never late, such as bookings, are served in the order in which
// they came.
func TestBoardKeepsOrderWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 1)
		holder := take(t, b, dispatch.Ask{Grouped: true})
		served := make(chan int, 3)
		for i := range cap(served) {
			go func() {
				ticket, err := b.Acquire(t.Context(), dispatch.Ask{
					Service: service,
					Grouped: true,
				})
				if err != nil {
					t.Errorf("request %d: %v", i, err)
					return
				}
				served <- i
				ticket.Done(dispatch.Report{Outcome: dispatch.Answered})
			}()
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		holder.Done(dispatch.Report{Outcome: dispatch.Answered})
		for want := range cap(served) {
			if got := <-served; got != want {
				t.Errorf("request %d was served, want %d", got, want)
			}
		}
	})
}

// Pattern: overload. What cannot be served in its time is refused at once, not at
// its deadline.
func TestBoardRefusesHopelessAtOnce(t *testing.T) {
	tests := map[string]dispatch.Ask{
		"too little time for the answer": {
			Ends:  time.Now().Add(time.Second),
			Needs: 2 * time.Second,
		},
		"caller leaves before the first event": {
			Begins: time.Now().Add(100 * time.Millisecond),
			First:  200 * time.Millisecond,
		},
	}
	for name, ask := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBoard(1, 1)
			ask.Service = service
			ask.Grouped = true
			began := time.Now()
			_, err := b.Acquire(t.Context(), ask)
			if !errors.Is(err, dispatch.ErrCrowded) {
				t.Errorf("got error %v, want %v", err, dispatch.ErrCrowded)
			}
			if took := time.Since(began); took > 50*time.Millisecond {
				t.Errorf("refused after %v", took)
			}
		})
	}
}

// Pattern: few requests come for a while, then some at once. How few came before tells
// nothing of how many can be served, so that none is refused.
func TestBoardDoesNotJudgeByIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 2)
		for range 10 {
			take(t, b, dispatch.Ask{Grouped: true}).Done(dispatch.Report{Outcome: dispatch.Answered})
			time.Sleep(time.Second)
		}
		failed := make(chan error, 8)
		for range cap(failed) {
			go func() {
				ticket, err := b.Acquire(t.Context(), dispatch.Ask{
					Service: service,
					Grouped: true,
					Begins:  time.Now().Add(2 * time.Second),
					First:   180 * time.Millisecond,
				})
				if err == nil {
					time.Sleep(400 * time.Millisecond)
					ticket.Done(dispatch.Report{Outcome: dispatch.Answered})
				}
				failed <- err
			}()
			synctest.Wait()
		}
		for range cap(failed) {
			err := <-failed
			if err != nil {
				t.Errorf("a request that could be served: %v", err)
			}
		}
	})
}

// Pattern: a backlog of late requests. They leave some slots free, so that one that can
// be on time does not wait for them.
func TestBoardKeepsSlotsFromLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ranks, slots, reserved = 2, 12, 2
		b := newBoard(ranks, slots)
		got := 0
		for range ranks * slots {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			_, err := b.Acquire(ctx, dispatch.Ask{
				Service: service,
				Grouped: true,
				Fresh:   time.Now().Add(-time.Second),
			})
			cancel()
			if err == nil {
				got++
			}
		}
		if want := ranks * (slots - reserved); got < want || got > want+ranks {
			t.Errorf("%d late requests were sent to %d slots, want %d to %d", got, ranks*slots, want, want+ranks)
		}
		take(t, b, dispatch.Ask{
			Grouped: true,
			Fresh:   time.Now().Add(time.Second),
		})
	})
}

// Pattern: lasting overload. Once a backlog has told how many can be served, a request
// that would wait for too long is refused at once.
func TestBoardRefusesBehindBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 1)
		for range 30 { // each takes 0.4 s, so that the last would be served after 12 s
			go func() {
				ticket, err := b.Acquire(t.Context(), dispatch.Ask{
					Service: service,
					Grouped: true,
				})
				if err == nil {
					time.Sleep(400 * time.Millisecond)
					ticket.Done(dispatch.Report{Outcome: dispatch.Answered})
				}
			}()
		}
		time.Sleep(time.Second)
		began := time.Now()
		_, err := b.Acquire(t.Context(), dispatch.Ask{
			Service: service,
			Grouped: true,
			Begins:  time.Now().Add(2 * time.Second),
		})
		if !errors.Is(err, dispatch.ErrCrowded) || time.Since(began) > 0 {
			t.Errorf("after %s: %v, want %v at once", time.Since(began), err, dispatch.ErrCrowded)
		}
		time.Sleep(20 * time.Second)
	})
}

// Pattern: a rank crashes and its group refuses everything until it opens anew.
// One request at a time finds out; the others wait and go once it works.
func TestBoardProbesBrokenGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(2, 12)
		take(t, b, dispatch.Ask{Grouped: true}).Done(dispatch.Report{Outcome: dispatch.Broken})
		granted := make(chan *dispatch.Ticket, 5)
		for range 5 {
			go func() {
				ticket, err := b.Acquire(t.Context(), dispatch.Ask{
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
		probe.Done(dispatch.Report{Outcome: dispatch.Broken})
		time.Sleep(200 * time.Millisecond)
		if len(granted) != 1 {
			t.Fatalf("%d requests were sent after the first was refused, want one", len(granted))
		}
		probe = <-granted
		probe.Opened()
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
		take(t, b, dispatch.Ask{Grouped: true}).Done(dispatch.Report{Outcome: dispatch.Broken})
		time.Sleep(200 * time.Millisecond)
		_ = take(t, b, dispatch.Ask{Grouped: true}) // it hangs
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.Acquire(ctx, dispatch.Ask{
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
			ticket := take(t, b, dispatch.Ask{})
			outcome := dispatch.Answered
			if ticket.Upstream.Name == "u1" {
				outcome = dispatch.Failed
				got++
			}
			ticket.Done(dispatch.Report{
				Outcome: outcome,
				Took:    60 * time.Millisecond,
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
		first := take(t, b, dispatch.Ask{})
		dark := first.Upstream.Name
		first.Done(dispatch.Report{Outcome: dispatch.Unreachable})
		for range 4 {
			if take(t, b, dispatch.Ask{}).Upstream.Name == dark {
				t.Fatal("a request went to the upstream that could not be reached")
			}
		}
		time.Sleep(500 * time.Millisecond)
		if take(t, b, dispatch.Ask{}).Upstream.Name != dark {
			t.Error("the upstream was not tried again")
		}
	})
}

// Pattern: an upstream has failed a request, and no other is ready. Its caller is
// answered at once and does not wait for one that may never come.
func TestBoardRefusesWhatNoUpstreamSuits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 4)
		ask := dispatch.Ask{
			Service: service,
			Avoid:   map[foxtailstack.UpstreamName]bool{"u0": true},
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
			take(t, b, dispatch.Ask{Grouped: true})
		}
		failed := make(chan error, 1)
		go func() {
			_, err := b.Acquire(t.Context(), dispatch.Ask{
				Service: service,
				Grouped: true,
				Avoid:   map[foxtailstack.UpstreamName]bool{"u0": true},
			})
			failed <- err
		}()
		synctest.Wait()
		rest := route.NewFleet(2, full.Ready(service)[:1])
		b.Fleet = func() *route.Fleet { return rest }
		b.Changed()
		err := <-failed
		if !errors.Is(err, dispatch.ErrNoUpstream) {
			t.Errorf("%v, want %v", err, dispatch.ErrNoUpstream)
		}
	})
}

func TestBoardWithoutUpstreams(t *testing.T) {
	b := newBoard(0, 0)
	_, err := b.Acquire(t.Context(), dispatch.Ask{Service: service})
	if !errors.Is(err, dispatch.ErrNoUpstream) {
		t.Errorf("got error %v, want %v", err, dispatch.ErrNoUpstream)
	}
}

// The sum over all entries stays within the share and the slack in any window.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &dispatch.Budget{
			Ratio:  0.2,
			Window: 10 * time.Second,
			Slack:  94,
		}
		retries := 0
		for range 1000 { // 100 a second
			budget.Request(service)
			if budget.Retry(service) {
				retries++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if limit := 0.2*1000 + 94.0/5; float64(retries) > limit {
			t.Errorf("%d retries for 1000 requests, want at most %v", retries, limit)
		}
		if retries < 150 {
			t.Errorf("%d retries for 1000 requests: the budget is hardly used", retries)
		}
		time.Sleep(11 * time.Second)
		if !budget.Retry(service) {
			t.Error("no retry after an idle window")
		}
	})
}

// BenchmarkBoard measures the choice among the ranks of a large group.
func BenchmarkBoard(b *testing.B) {
	board := newBoard(63, 10)
	ask := dispatch.Ask{
		Service: service,
		Grouped: true,
	}
	for b.Loop() {
		ticket, err := board.Acquire(b.Context(), ask)
		if err != nil {
			b.Fatal(err)
		}
		ticket.Done(dispatch.Report{Outcome: dispatch.Answered})
	}
}

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
				loads[rank] = dispatch.RankLoad{Pace: 1}
			}
			b.TellGroup(service, group, loads, 0)
		}
		works := map[foxtailstack.UpstreamName]bool{
			"u2": true,
			"u3": true,
		}
		broken := 0
		for range 200 {
			ticket := take(t, b, dispatch.Ask{Grouped: true})
			outcome := dispatch.Answered
			if !works[ticket.Upstream.Name] {
				broken++
				outcome = dispatch.Broken
			}
			ticket.Done(dispatch.Report{Outcome: outcome})
			time.Sleep(10 * time.Millisecond)
		}
		if broken > 20 { // two seconds of probes each 0.12 s
			t.Errorf("%d of 200 requests went to the broken group", broken)
		}
	})
}
