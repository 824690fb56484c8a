package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Without faults the planner follows each shift of demand and holds nothing up.
func TestPlannerFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx)
		w.start(ctx, 0, 1)
		time.Sleep(10 * time.Second)
		w.check(t)
		w.mu.Lock()
		maps, passes := w.ranks[0].report.Map, w.step
		w.mu.Unlock()
		if maps < 3 {
			t.Errorf("got %d maps in 10 s with a shift each 2 s, want 3 or more", maps)
		}
		if passes < 190 {
			t.Errorf("got %d passes of 200: the group was held up", passes)
		}
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// Pattern: other experts are in demand each two seconds, and until the map follows,
// every pass waits for the rank that holds them. The new map takes a copy of 0.15 s
// and is in force within half a second of each shift.
func TestMapFollowsShift(t *testing.T) {
	const (
		shifts = 8
		soon   = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx)
		w.start(ctx, 0, 1)
		time.Sleep((shifts + 1) * shiftPasses * passTime)
		w.check(t)
		w.mu.Lock()
		for shift := 1; shift <= shifts; shift++ {
			maps := w.maps[shift*shiftPasses:]
			passes := slices.IndexFunc(maps, func(version foxtailstack.Epoch) bool {
				return version != maps[0]
			})
			if took := time.Duration(passes) * passTime; passes < 0 || took > soon {
				t.Errorf("shift %d: map followed after %s, want %s or less", shift, took, soon)
			}
		}
		w.mu.Unlock()
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// Every combination of fates of the first orders of a switch, each in a run of
// its own, ends without a pass of two maps, and the group goes on.
func TestSwitchBearsEveryFate(t *testing.T) {
	const (
		ranks = 2
		// orders is the number of orders whose fates are combined: two to
		// prepare, one to hold, two to arm, one to release.
		orders = 6
	)
	runs := 1
	for range orders {
		runs *= int(fates)
	}
	step := 1
	if testing.Short() {
		step = 17
	}
	for run := 0; run < runs; run += step {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(ranks)
			left := run
			w.fate = func(foxtailstack.Rank, Order) fate {
				f := fate(left % int(fates))
				left /= int(fates)
				return f
			}
			w.lateBy = func() time.Duration { return 1500 * time.Millisecond }
			ctx, cancel := context.WithCancel(t.Context())
			go w.run(ctx)
			w.start(ctx, 0, 1)
			time.Sleep(6 * time.Second)
			w.check(t)
			w.mu.Lock()
			if w.ranks[0].report.Map == 0 || w.step < 60 {
				t.Errorf("fates %d: map %d after %d passes", run, w.ranks[0].report.Map, w.step)
			}
			w.mu.Unlock()
			cancel()
			time.Sleep(time.Minute) // lets late orders come
		})
	}
}

// lives is the number of planners in a walk, one after the other.
const lives = 12

// walk is one random history of planners that die, stand still and are replaced,
// of orders that are lost or late, and of groups that idle and open anew.
func walk(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(3 + rng.IntN(3))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		loss := rng.Float64() * 0.5
		fated := rand.New(rand.NewPCG(seed, 2)) // used while the world is locked
		w.fate = func(foxtailstack.Rank, Order) fate {
			if fated.Float64() < loss {
				return lostBefore + fate(fated.IntN(int(fates)-1))
			}
			return delivered
		}
		w.lateBy = func() time.Duration { return 2*time.Second + time.Duration(fated.Int64N(int64(10*time.Second))) }
		go w.run(ctx)
		for life := range lives {
			self := foxtailstack.Rank(rng.IntN(len(w.ranks)))
			planning, stop := context.WithCancel(ctx)
			defer stop()
			planner := w.start(planning, self, foxtailstack.FencingToken(life+1))
			time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
			w.disturb(rng, planner, self)
			switch rng.IntN(3) {
			case 0: // it dies
				stop()
			case 1: // it stands still and goes on beside its successor
				planner.freeze(4 * time.Second)
			case 2: // it goes on beside its successor
			}
			time.Sleep(500 * time.Millisecond)
		}
		w.mu.Lock()
		w.idle = false
		for _, r := range w.ranks {
			r.cut = false
		}
		w.mu.Unlock()
		w.start(ctx, 0, lives+1)
		time.Sleep(15 * time.Second) // lets late orders come
		w.mu.Lock()
		before := w.step
		w.mu.Unlock()
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		if w.step < before+200 {
			t.Errorf("seed %d: %d passes in 20 s after the last fault", seed, w.step-before)
		}
		w.mu.Unlock()
		w.check(t)
		cancel()
		time.Sleep(time.Minute) // lets late orders come
	})
}

// disturb changes the state of the group.
func (w *world) disturb(rng *rand.Rand, planner *worldPlanner, self foxtailstack.Rank) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch rng.IntN(7) {
	case 3: // a sidecar starts anew and remembers nothing
		restarted := w.ranks[rng.IntN(len(w.ranks))]
		w.note("sidecar of rank %d starts anew", restarted.index)
		restarted.witness = ArmRecord{}
		restarted.heard = 0
	case 0:
		w.idle = !w.idle
	case 1:
		w.reform()
	case 2: // the planner's machine stands still, with the rank beside it
		w.note("machine of rank %d stands still", self)
		w.ranks[self].cut = true
		planner.freeze(cutTime)
		time.AfterFunc(cutTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.ranks[self].cut = false
		})
	}
}

// In random histories no pass begins with two maps, and the group goes on.
func TestSwitchRandomWalks(t *testing.T) {
	walks := 300
	if testing.Short() {
		walks = 40
	}
	for seed := range uint64(walks) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { walk(t, seed) })
	}
}

// Pattern: a group opens anew, with its first map, while many requests wait. The few
// that are read first choose other experts than all did before, which is no shift of
// demand: the next map follows at once.
func TestMapFollowsOpening(t *testing.T) {
	const soon = 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx)
		w.start(ctx, 0, 1)
		time.Sleep(1900 * time.Millisecond)
		w.mu.Lock()
		if w.ranks[0].report.Map == 0 {
			t.Error("no map before the group opens anew")
		}
		w.reform()
		for _, r := range w.ranks {
			r.counts = Counts{
				Formation: w.formed,
				Chosen:    make([]float64, len(r.demand)),
			}
			r.demand[3] += 20000
			r.demand[9] += 20000
		}
		w.mu.Unlock()
		time.Sleep(soon)
		w.mu.Lock()
		if w.ranks[0].report.Map == 0 {
			t.Errorf("no map %s after the group has opened anew", soon)
		}
		w.mu.Unlock()
		w.check(t)
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}
