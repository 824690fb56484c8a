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

// acquire calls Acquire in a goroutine and returns a channel with its result.
func acquire(ctx context.Context, c *AdmissionController, r AdmissionRequest) <-chan error {
	result := make(chan error, 1)
	go func() { result <- c.Acquire(ctx, r) }()
	synctest.Wait()
	return result
}

// recordServiceTime runs one call of the given duration, so that the controller has a
// mean service time.
func recordServiceTime(t *testing.T, c *AdmissionController, service time.Duration) {
	t.Helper()
	if err := c.Acquire(t.Context(), AdmissionRequest{Timeout: time.Hour}); err != nil {
		t.Fatalf("acquire a slot: %v", err)
	}
	time.Sleep(service)
	c.Release()
}

func TestAdmissionRefusals(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		do      func(c *AdmissionController, cancel context.CancelFunc)
		want    error
		// wantAfter is the time until Acquire returns.
		wantAfter time.Duration
	}{
		{
			name:      "no time left",
			timeout:   0,
			do:        nil,
			want:      ErrExpired,
			wantAfter: 0,
		},
		{
			name:      "cannot start in time",
			timeout:   time.Second,
			do:        nil,
			want:      ErrFull,
			wantAfter: 0,
		},
		{
			name:      "draining",
			timeout:   time.Minute,
			do:        func(c *AdmissionController, _ context.CancelFunc) { c.Drain() },
			want:      ErrDraining,
			wantAfter: 0,
		},
		{
			name:      "canceled",
			timeout:   time.Minute,
			do:        func(_ *AdmissionController, cancel context.CancelFunc) { cancel() },
			want:      context.Canceled,
			wantAfter: 0,
		},
		{
			name:      "expired while waiting",
			timeout:   4 * time.Second,
			do:        nil,
			want:      ErrExpired,
			wantAfter: 4 * time.Second,
		},
		{
			name:      "resized",
			timeout:   time.Minute,
			do:        func(c *AdmissionController, _ context.CancelFunc) { c.Resize(2) },
			want:      nil,
			wantAfter: 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewAdmissionController(1)
				recordServiceTime(t, c, time.Second)
				if err := c.Acquire(t.Context(), AdmissionRequest{Timeout: time.Hour}); err != nil {
					t.Fatalf("acquire the only slot: %v", err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				result := acquire(ctx, c, AdmissionRequest{Timeout: test.timeout})
				if test.do != nil {
					test.do(c, cancel)
				}
				got := <-result
				if diff := cmp.Diff(test.want, got, cmpopts.EquateErrors()); diff != "" {
					t.Errorf("error of Acquire (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(test.wantAfter, time.Since(began)); diff != "" {
					t.Errorf("time until Acquire returned (-want +got):\n%s", diff)
				}
				var refused *AdmissionError
				if errors.Is(got, ErrFull) && (!errors.As(got, &refused) || refused.RetryAfter < minRetryBase/2) {
					t.Errorf("refusal without a retry time: %v", got)
				}
			})
		})
	}
}

// A slot may be granted to a call at the moment at which its context is canceled. It must
// not be lost.
func TestAdmissionGrantMeetsCancel(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			c := NewAdmissionController(1)
			if err := c.Acquire(t.Context(), AdmissionRequest{Timeout: time.Hour}); err != nil {
				t.Fatalf("acquire the only slot: %v", err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			result := acquire(ctx, c, AdmissionRequest{Timeout: time.Minute})
			go cancel()
			go c.Release()
			if err := <-result; err == nil {
				c.Release()
			}
			synctest.Wait()
			want := Load{Slots: 1}
			if diff := cmp.Diff(want, c.Load(), cmpopts.IgnoreFields(Load{}, "MeanServiceTime")); diff != "" {
				t.Errorf("load (-want +got):\n%s", diff)
			}
			<-c.Drain()
		})
	}
}

// Teams that always have waiting calls must get slots in proportion to their weights,
// whatever the weights and the order of arrival.
func TestQueueSharesByWeight(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatalf("set the seed: %v", err)
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
				for len(q.teamQueue(team).waiting) < 2 {
					add(team)
				}
			}
			now = now.Add(time.Second)
			q.Finish(now)
			if started["a"]+started["b"]+started["c"] != before+1 {
				t.Fatal("no call started although a slot was free")
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

// A standing queue must refuse new calls whatever their deadlines, except for the first
// calls of a team. A queue that was empty recently must admit them.
func TestQueueStanding(t *testing.T) {
	tests := []struct {
		name string
		team foxtailstack.TeamName
		// filled is the time for which calls have been waiting.
		filled time.Duration
		want   error
	}{
		{
			name:   "burst",
			team:   "big",
			filled: standingQueueAge / 2,
			want:   nil,
		},
		{
			name:   "standing",
			team:   "big",
			filled: standingQueueAge,
			want:   ErrFull,
		},
		{
			name:   "first call of a team in a standing queue",
			team:   "small",
			filled: standingQueueAge,
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
			q.Finish(now) // sets a mean service time of one second
			_ = add("big")
			for range minCallsPerTeam + 1 {
				if err := add("big"); err != nil {
					t.Fatalf("add a call to a queue with few calls: %v", err)
				}
			}
			now = now.Add(test.filled)
			if diff := cmp.Diff(test.want, add(test.team), cmpopts.EquateErrors()); diff != "" {
				t.Errorf("error of the last call (-want +got):\n%s", diff)
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
	// The priority of a call must not affect its order relative to other teams.
	want := []string{"a-high", "b-low", "a-low", "a-late"}
	if diff := cmp.Diff(want, order); diff != "" {
		t.Errorf("order of starts (-want +got):\n%s", diff)
	}
}
