package group

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// freezeTime is how long the machine of a planner is frozen.
const freezeTime = 4 * time.Second

// freezeAt freezes the machine of a planner, and with it the rank beside the
// planner, at the first order for which trigger returns true. It returns once
// that has happened. The rank can be reached again after freezeTime if recovers
// is set.
func (g *simGroup) freezeAt(
	planner *simPlanner,
	self foxtailstack.Rank,
	recovers bool,
	trigger func(Order) bool,
) {
	triggered := make(chan struct{})
	done := false
	g.mu.Lock()
	g.deliveryOf = func(_ foxtailstack.Rank, order Order) delivery {
		if done || !trigger(order) {
			return delivered
		}
		done = true
		g.ranks[self].unreachable = true
		planner.freeze(freezeTime)
		if recovers {
			time.AfterFunc(freezeTime, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.ranks[self].unreachable = false
			})
		}
		close(triggered)
		return delivered
	}
	g.mu.Unlock()
	<-triggered
}

// orderOf returns a trigger that matches all orders of an action. freezeAt acts on
// the first of them.
func orderOf(action Action) func(Order) bool {
	return func(order Order) bool { return order.Action == action }
}

// nthArmOrder returns a trigger that matches the order to arm with the given
// number, counted from one.
func nthArmOrder(number int) func(Order) bool {
	arms := 0
	return func(order Order) bool {
		if order.Action == Arm {
			arms++
		}
		return arms == number
	}
}

// lastPass returns the number of the last pass that has begun.
func (g *simGroup) lastPass() foxtailstack.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// runWithPlanner runs a test with a simulated group of some ranks and a planner
// beside the last rank, and then checks the passes of the group.
func runWithPlanner(
	t *testing.T,
	ranks int,
	test func(ctx context.Context, g *simGroup, planner *simPlanner, self foxtailstack.Rank),
) {
	synctest.Test(t, func(t *testing.T) {
		g := newSimGroupBeside(ranks)
		self := foxtailstack.Rank(ranks - 1)
		ctx, cancel := context.WithCancel(t.Context())
		go g.run(ctx)
		test(ctx, g, g.startPlanner(ctx, self, 1), self)
		time.Sleep(10 * time.Second)
		g.checkPasses(t)
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// The machine of the planner freezes right after the first order of each action
// of a switch. The group must go on as soon as another planner takes over,
// without waiting for the frozen one.
func TestSwitchPlannerFreezes(t *testing.T) {
	for _, action := range []Action{Prepare, Hold, Arm} {
		t.Run(string(action), func(t *testing.T) {
			runWithPlanner(t, 4, func(ctx context.Context, g *simGroup, planner *simPlanner, self foxtailstack.Rank) {
				g.freezeAt(planner, self, true, orderOf(action))
				time.Sleep(600 * time.Millisecond)
				g.startPlanner(ctx, 0, 2)
				time.Sleep(500 * time.Millisecond)
				before := g.lastPass()
				time.Sleep(2 * time.Second)
				if got := g.lastPass(); got < before+30 {
					t.Errorf("got %d passes in 2 s while the former planner is frozen, want at least 30", got-before)
				}
			})
		})
	}
}

// The machine of the planner freezes while the group is held. The group makes
// no passes until the next planner releases it, so each request of the next
// planner that runs into a timeout delays all requests of the group. The
// machine freezes after each of the orders to arm in turn. The last of them is
// for the planner's own rank.
func TestSuccessorReleasesSoon(t *testing.T) {
	const (
		ranks = 8
		soon  = 400 * time.Millisecond
	)
	for arms := 1; arms <= ranks; arms++ {
		t.Run(fmt.Sprintf("after %d arms", arms), func(t *testing.T) {
			runWithPlanner(t, ranks, func(ctx context.Context, g *simGroup, planner *simPlanner, self foxtailstack.Rank) {
				g.freezeAt(planner, self, false, nthArmOrder(arms))
				time.Sleep(500 * time.Millisecond) // by now the group has reached the pass before which it is held
				before := g.lastPass()
				g.startPlanner(ctx, 0, 2)
				time.Sleep(soon)
				if g.lastPass() == before {
					t.Errorf("no pass began within %s of the start of the next planner: the group is still held", soon)
				}
			})
		})
	}
}

// The sidecar that armed the planner's rank restarts, and the planner's machine
// freezes. No sidecar knows whether that rank is armed, so the switch must not
// be undone: the group has to wait for the rank.
func TestArmWithoutRecordIsNotUndone(t *testing.T) {
	const ranks = 4
	runWithPlanner(t, ranks, func(ctx context.Context, g *simGroup, planner *simPlanner, self foxtailstack.Rank) {
		g.freezeAt(planner, self, true, nthArmOrder(ranks))
		g.mu.Lock()
		for _, r := range g.ranks {
			r.armRecord = ArmRecord{}
		}
		g.mu.Unlock()
		g.startPlanner(ctx, 0, 2)
		time.Sleep(10 * time.Second)
		if got := g.lastPass(); got < 100 {
			t.Errorf("got %d passes in 10 s, want at least 100: the group did not go on after the rank recovered", got)
		}
	})
}

// Guards against a group that is held until the next planner has read the configuration: all
// streams stand still, and callers at the rank of the frozen planner leave before these go on.
func TestSuccessorReleasesWithoutConfiguration(t *testing.T) {
	const soon = 400 * time.Millisecond
	runWithPlanner(t, 8, func(ctx context.Context, g *simGroup, planner *simPlanner, self foxtailstack.Rank) {
		g.freezeAt(planner, self, false, orderOf(Arm))
		time.Sleep(500 * time.Millisecond) // by now the group has reached the pass before which it is held
		before := g.lastPass()
		g.configUnread = true
		g.startPlanner(ctx, 0, 2)
		time.Sleep(soon)
		if g.lastPass() == before {
			t.Errorf("no pass began within %s of the start of the next planner: the group is still held", soon)
		}
	})
}
