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

// Without faults the planner changes the map after each shift of demand and
// does not delay passes.
func TestPlannerFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimGroup(4)
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx)
		w.startPlanner(ctx, 0, 1)
		time.Sleep(10 * time.Second)
		w.checkPasses(t)
		w.mu.Lock()
		maps, passes := w.ranks[0].report.Map, w.step
		w.mu.Unlock()
		if maps < 3 {
			t.Errorf("got map version %d after 10 s with a shift every 2 s, want at least 3", maps)
		}
		if passes < 190 {
			t.Errorf("got %d passes in 10 s, want at least 190 of 200", passes)
		}
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// The demand moves to other experts every two seconds. Until the map follows,
// every pass waits for the rank that holds them. Copying the experts takes 0.15
// s, and the new map must be in use within half a second of the shift.
func TestMapFollowsShift(t *testing.T) {
	const (
		shifts = 8
		soon   = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		w := newSimGroup(4)
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx)
		w.startPlanner(ctx, 0, 1)
		time.Sleep((shifts + 1) * shiftPasses * passTime)
		w.checkPasses(t)
		w.mu.Lock()
		for shift := 1; shift <= shifts; shift++ {
			maps := w.maps[shift*shiftPasses:]
			passes := slices.IndexFunc(maps, func(version foxtailstack.Epoch) bool {
				return version != maps[0]
			})
			if took := time.Duration(passes) * passTime; passes < 0 || took > soon {
				t.Errorf("shift %d: map changed after %s, want at most %s", shift, took, soon)
			}
		}
		w.mu.Unlock()
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// Each combination of delivery outcomes of the first orders of a switch, tried
// in a run of its own, must end without a pass that began with two maps, and
// the group must go on.
func TestSwitchUnderEveryDelivery(t *testing.T) {
	const (
		ranks = 2
		// orders is the number of orders whose delivery outcomes are combined:
		// two to prepare, one to hold, two to arm, one to release.
		orders = 6
	)
	runs := 1
	for range orders {
		runs *= int(deliveryKinds)
	}
	step := 1
	if testing.Short() {
		step = 17
	}
	for run := 0; run < runs; run += step {
		synctest.Test(t, func(t *testing.T) {
			w := newSimGroup(ranks)
			remaining := run
			w.deliveryOf = func(foxtailstack.Rank, Order) delivery {
				f := delivery(remaining % int(deliveryKinds))
				remaining /= int(deliveryKinds)
				return f
			}
			w.delay = func() time.Duration { return 1500 * time.Millisecond }
			ctx, cancel := context.WithCancel(t.Context())
			go w.run(ctx)
			w.startPlanner(ctx, 0, 1)
			time.Sleep(6 * time.Second)
			w.checkPasses(t)
			w.mu.Lock()
			if w.ranks[0].report.Map == 0 || w.step < 60 {
				t.Errorf("run %d: map version %d after %d passes, want a changed map and at least 60 passes", run, w.ranks[0].report.Map, w.step)
			}
			w.mu.Unlock()
			cancel()
			time.Sleep(time.Minute) // lets delayed orders arrive
		})
	}
}

// plannersPerWalk is the number of planners in a random walk, one after the
// other.
const plannersPerWalk = 12

// randomWalk runs one random sequence of planners that fail, freeze and are
// replaced, of orders that are lost or delayed, and of groups that idle and
// open anew.
func randomWalk(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newSimGroup(3 + rng.IntN(3))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lossRate := rng.Float64() * 0.5
		deliveryRNG := rand.New(rand.NewPCG(seed, 2)) // used only while mu is held
		w.deliveryOf = func(foxtailstack.Rank, Order) delivery {
			if deliveryRNG.Float64() < lossRate {
				return lostOrder + delivery(deliveryRNG.IntN(int(deliveryKinds)-1))
			}
			return delivered
		}
		w.delay = func() time.Duration { return 2*time.Second + time.Duration(deliveryRNG.Int64N(int64(10*time.Second))) }
		go w.run(ctx)
		for n := range plannersPerWalk {
			self := foxtailstack.Rank(rng.IntN(len(w.ranks)))
			planning, stop := context.WithCancel(ctx)
			defer stop()
			planner := w.startPlanner(planning, self, foxtailstack.FencingToken(n+1))
			time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
			w.injectFault(rng, planner, self)
			switch rng.IntN(3) {
			case 0: // the planner fails
				stop()
			case 1: // the planner freezes and resumes while the next one runs
				planner.freeze(4 * time.Second)
			case 2: // the planner continues while the next one runs
			}
			time.Sleep(500 * time.Millisecond)
		}
		w.mu.Lock()
		w.idle = false
		for _, r := range w.ranks {
			r.unreachable = false
		}
		w.mu.Unlock()
		w.startPlanner(ctx, 0, plannersPerWalk+1)
		time.Sleep(15 * time.Second) // lets delayed orders arrive
		w.mu.Lock()
		before := w.step
		w.mu.Unlock()
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		if w.step < before+200 {
			t.Errorf("seed %d: %d passes in 20 s after the last fault, want at least 200", seed, w.step-before)
		}
		w.mu.Unlock()
		w.checkPasses(t)
		cancel()
		time.Sleep(time.Minute) // lets delayed orders arrive
	})
}

// injectFault injects a random fault into the group, or none.
func (g *simGroup) injectFault(rng *rand.Rand, planner *simPlanner, self foxtailstack.Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch rng.IntN(7) {
	case 3: // a sidecar restarts without its arm record
		restarted := g.ranks[rng.IntN(len(g.ranks))]
		g.logEvent("sidecar of rank %d restarts", restarted.index)
		restarted.armRecord = ArmRecord{}
		restarted.newestFence = 0
	case 0:
		g.idle = !g.idle
	case 1:
		g.reopen()
	case 2: // the planner's machine freezes, with the rank beside it
		g.logEvent("machine of rank %d freezes", self)
		g.ranks[self].unreachable = true
		planner.freeze(outageTime)
		time.AfterFunc(outageTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.ranks[self].unreachable = false
		})
	}
}

// In random sequences of faults no pass may begin with two maps, and the group
// must go on after the last fault.
func TestSwitchRandomWalks(t *testing.T) {
	walks := 300
	if testing.Short() {
		walks = 40
	}
	for seed := range uint64(walks) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomWalk(t, seed) })
	}
}

// A group opens anew, with its first map, while many requests wait. The few
// requests that are read first choose other experts than all requests did
// before. This must not count as a shift of demand: the next map must follow at
// once.
func TestMapFollowsOpening(t *testing.T) {
	const soon = 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		w := newSimGroup(4)
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx)
		w.startPlanner(ctx, 0, 1)
		time.Sleep(1900 * time.Millisecond)
		w.mu.Lock()
		if w.ranks[0].report.Map == 0 {
			t.Error("the initial map is still in use before the group opens anew")
		}
		w.reopen()
		for _, r := range w.ranks {
			r.counts = Counts{
				Formation: w.formation,
				Chosen:    make([]float64, len(r.demand)),
			}
			r.demand[3] += 20000
			r.demand[9] += 20000
		}
		w.mu.Unlock()
		time.Sleep(soon)
		w.mu.Lock()
		if w.ranks[0].report.Map == 0 {
			t.Errorf("the initial map is still in use %s after the group opened anew", soon)
		}
		w.mu.Unlock()
		w.checkPasses(t)
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}
