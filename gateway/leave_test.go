package gateway_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// stillTime is how long a rank that stands still does so, callerTime how long its
// callers wait, and passTime how often its group makes a pass.
const (
	stillTime  = 3 * time.Second
	callerTime = 2 * time.Second
	passTime   = 20 * time.Millisecond
)

// beat lets the group of a model make passes, as its other streams show, until the
// test ends.
func (s *site) beat(t *testing.T) {
	ticker := time.NewTicker(passTime)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.gateway.Scheduler.ObserveEventGap("models", passTime)
			case <-done:
				return
			}
		}
	}()
}

// told is what the gateway is told of the first rank that a request reaches.
type told uint8

const (
	toldNothing told = iota
	// toldSilent is that it does not answer the planner.
	toldSilent
	// toldSlow is that it is slow.
	toldSlow
)

// tell tells the gateway of the ranks of the group, and something of one of them.
func (s *site) tell(rank string, what told) {
	if what == toldNothing {
		return
	}
	loads := make(map[foxtailstack.Address]dispatch.RankLoad)
	for _, u := range s.view.Fleet().Ready("models") {
		loads[u.Address] = dispatch.RankLoad{Slowdown: 1}
	}
	address := foxtailstack.Address(rank)
	if what == toldSilent {
		delete(loads, address)
	} else {
		loads[address] = dispatch.RankLoad{Slowdown: 12}
	}
	s.gateway.Scheduler.ObserveGroup("models", "g", loads, 0)
}

// Patterns: the machine of one rank stands still, or a connection to it goes silent,
// while its group goes on; one rank turns slow, and every pass waits for what its own
// requests need. Its streams go on at another rank.
func TestStreamLeavesUnfitRank(t *testing.T) {
	served := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
		events(w, r, from+1, 10)
	}
	stillAfter := func(last int, reached func(rank string)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			reached(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
			if last > 0 {
				events(w, r, 1, last)
			}
			select {
			case <-r.Context().Done():
			case <-time.After(stillTime):
			}
			panic(http.ErrAbortHandler)
		}
	}
	tests := map[string]struct {
		last   int
		passes bool
		told   told
		budget int
		want   answer
	}{
		"before its first event at a silent rank": {
			passes: true,
			told:   toldSilent,
			budget: 100,
			want: answer{
				Status: 200,
				Body:   wantEvents(1, 10),
			},
		},
		"between two events": {
			last:   4,
			passes: true,
			budget: 100,
			want: answer{
				Status: 200,
				Body:   wantEvents(1, 10),
			},
		},
		"at a slow rank": {
			last:   4,
			told:   toldSlow,
			budget: 100,
			want: answer{
				Status: 200,
				Body:   wantEvents(1, 10),
			},
		},
		"before its first event at a slow rank": {
			told:   toldSlow,
			budget: 100,
			want: answer{
				Status: 200,
				Body:   wantEvents(1, 10),
			},
		},
		"waits for its first event at a rank that others hear": {
			passes: true,
			budget: 100,
			want: answer{
				Status: 504,
				Body:   "timeout\n",
			},
		},
		"waits while the whole group stands still": {
			last:   4,
			budget: 100,
			want: answer{
				Status: 200,
				Body:   wantEvents(1, 4),
				Cut:    true,
			},
		},
		"waits if there is no budget for a retry": {
			last:   4,
			passes: true,
			want: answer{
				Status: 200,
				Body:   wantEvents(1, 4),
				Cut:    true,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := &calls{}
			var s *site
			worker := each(c, stillAfter(test.last, func(rank string) {
				s.tell(rank, test.told)
			}), served)
			s = newSiteOf(t, "models", worker, worker, worker)
			s.deadline = callerTime
			s.gateway.RetryBudget.Slack = test.budget
			if test.budget == 0 {
				s.gateway.RetryBudget.Ratio = 0
			}
			if test.passes {
				s.beat(t)
			}
			began := time.Now()
			got := s.ask(t, http.MethodPost, "/model/x")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("answer differs (-want +got):\n%s", diff)
			}
			if test.want.Status == http.StatusOK && !test.want.Cut && time.Since(began) > stillTime/2 {
				t.Errorf("answer took %s", time.Since(began))
			}
		})
	}
}
