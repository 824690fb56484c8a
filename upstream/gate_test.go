package upstream

import (
	"context"
	"errors"
	"flag"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// enter lets a call enter in the background and returns its result.
func enter(ctx context.Context, g *AdmissionController, t AdmissionRequest) <-chan error {
	result := make(chan error, 1)
	go func() { result <- g.Acquire(ctx, t) }()
	synctest.Wait()
	return result
}

// warm teaches the gate a service time.
func warm(t *testing.T, g *AdmissionController, service time.Duration) {
	t.Helper()
	if err := g.Acquire(t.Context(), AdmissionRequest{Timeout: time.Hour}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(service)
	g.Release()
}

func TestGateRefusals(t *testing.T) {
	tests := []struct {
		name string
		left time.Duration
		do   func(g *AdmissionController, cancel context.CancelFunc)
		want error
		// after is when the call learns of it.
		after time.Duration
	}{
		{
			name:  "no time left",
			left:  0,
			do:    nil,
			want:  ErrExpired,
			after: 0,
		},
		{
			name:  "cannot start in time",
			left:  time.Second,
			do:    nil,
			want:  ErrFull,
			after: 0,
		},
		{
			name:  "draining",
			left:  time.Minute,
			do:    func(g *AdmissionController, _ context.CancelFunc) { g.Drain() },
			want:  ErrDraining,
			after: 0,
		},
		{
			name:  "canceled",
			left:  time.Minute,
			do:    func(_ *AdmissionController, cancel context.CancelFunc) { cancel() },
			want:  context.Canceled,
			after: 0,
		},
		{
			name:  "expired while waiting",
			left:  4 * time.Second,
			do:    nil,
			want:  ErrExpired,
			after: 4 * time.Second,
		},
		{
			name:  "resized",
			left:  time.Minute,
			do:    func(g *AdmissionController, _ context.CancelFunc) { g.Resize(2) },
			want:  nil,
			after: 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewAdmissionController(1)
				warm(t, g, time.Second)
				if err := g.Acquire(t.Context(), AdmissionRequest{Timeout: time.Hour}); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				result := enter(ctx, g, AdmissionRequest{Timeout: test.left})
				if test.do != nil {
					test.do(g, cancel)
				}
				got := <-result
				if diff := cmp.Diff(test.want, got, cmpopts.EquateErrors()); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(test.after, time.Since(began)); diff != "" {
					t.Error(diff)
				}
				var refused *AdmissionError
				if errors.Is(got, ErrFull) && (!errors.As(got, &refused) || refused.RetryAfter < minRetry/2) {
					t.Errorf("refusal without a time to come back: %v", got)
				}
			})
		})
	}
}

// A slot that is granted while its call gives up must go to the next one.
func TestGateGrantMeetsCancel(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			g := NewAdmissionController(1)
			if err := g.Acquire(t.Context(), AdmissionRequest{Timeout: time.Hour}); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			result := enter(ctx, g, AdmissionRequest{Timeout: time.Minute})
			go cancel()
			go g.Release()
			if err := <-result; err == nil {
				g.Release()
			}
			synctest.Wait()
			want := Load{Slots: 1}
			if diff := cmp.Diff(want, g.Load(), cmpopts.IgnoreFields(Load{}, "Service")); diff != "" {
				t.Error(diff)
			}
			<-g.Drain()
		})
	}
}

// Whatever the weights and the order of arrival, teams that always wait get
// slots in proportion to their weights.
func TestQueueSharesByWeight(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		weights := map[foxtailstack.TeamName]float64{
			"a": float64(rapid.IntRange(1, 9).Draw(t, "a")),
			"b": float64(rapid.IntRange(1, 9).Draw(t, "b")),
			"c": float64(rapid.IntRange(1, 9).Draw(t, "c")),
		}
		teams := rapid.SliceOfN(rapid.SampledFrom([]foxtailstack.TeamName{"a", "b", "c"}), 0, 20).Draw(t, "teams")
		teams = append(teams, "a", "b", "c", "a", "b", "c")
		now := time.Unix(0, 0)
		q := Queue{Weight: func(team foxtailstack.TeamName) float64 { return weights[team] }}
		started := map[foxtailstack.TeamName]float64{}
		add := func(team foxtailstack.TeamName) {
			q.Add(now, AdmissionRequest{
				Team:    team,
				Timeout: time.Hour,
			}, &Waiter{OnDecision: func(err error) {
				if err == nil {
					started[team]++
				}
			}})
		}
		q.Resize(now, 0)
		q.DisableShedding = true
		for _, team := range teams {
			add(team)
		}
		q.Resize(now, 1)
		for range 400 {
			before := started["a"] + started["b"] + started["c"]
			for team := range weights {
				for len(q.account(team).waiting) < 2 {
					add(team)
				}
			}
			now = now.Add(time.Second)
			q.Finish(now)
			if started["a"]+started["b"]+started["c"] != before+1 {
				t.Fatal("a free slot was not used")
			}
		}
		for team, weight := range weights {
			share := started[team] / weight
			reference := started["a"] / weights["a"]
			if math.Abs(share-reference) > 1/weight+1/weights["a"]+1e-9 {
				t.Fatalf("started %v under weights %v", started, weights)
			}
		}
	})
}

// A queue that has not been empty for long takes few new calls, whatever their
// deadlines, but some of each team; one that has just filled takes all.
func TestQueueStanding(t *testing.T) {
	tests := []struct {
		name string
		team foxtailstack.TeamName
		// filled is the time for which calls have waited.
		filled time.Duration
		want   error
	}{
		{
			name:   "burst",
			team:   "big",
			filled: patience / 2,
			want:   nil,
		},
		{
			name:   "standing",
			team:   "big",
			filled: patience,
			want:   ErrFull,
		},
		{
			name:   "first call of a team in a standing queue",
			team:   "small",
			filled: patience,
			want:   nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			q := Queue{}
			q.Resize(now, 1)
			add := func(team foxtailstack.TeamName) error {
				result := error(nil)
				q.Add(now, AdmissionRequest{
					Team:    team,
					Timeout: time.Hour,
				}, &Waiter{OnDecision: func(err error) { result = err }})
				return result
			}
			_ = add("big")
			now = now.Add(time.Second)
			q.Finish(now) // calls take a second
			_ = add("big")
			for range ownCalls + 1 {
				if err := add("big"); err != nil {
					t.Fatal(err)
				}
			}
			now = now.Add(test.filled)
			if diff := cmp.Diff(test.want, add(test.team), cmpopts.EquateErrors()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestQueuePriorityWithinTeam(t *testing.T) {
	now := time.Unix(0, 0)
	q := Queue{DisableShedding: true}
	var order []string
	for _, call := range []struct {
		name     string
		team     foxtailstack.TeamName
		priority foxtailstack.Priority
	}{{
		name:     "a-low",
		team:     "a",
		priority: 0,
	}, {
		name:     "a-high",
		team:     "a",
		priority: 5,
	}, {
		name:     "b-low",
		team:     "b",
		priority: -3,
	}, {
		name:     "a-late",
		team:     "a",
		priority: 0,
	}} {
		q.Add(now, AdmissionRequest{
			Team:     call.team,
			Priority: call.priority,
			Timeout:  time.Hour,
		}, &Waiter{OnDecision: func(error) { order = append(order, call.name) }})
	}
	q.Resize(now, 4)
	// A team's priority does not put it before another team.
	want := []string{"a-high", "b-low", "a-low", "a-late"}
	if diff := cmp.Diff(want, order); diff != "" {
		t.Error(diff)
	}
}
