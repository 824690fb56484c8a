package group

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// freezeTime is how long the machine of a planner stands still.
const freezeTime = 4 * time.Second

// freezeAt lets the machine of a planner stand still, with the rank beside it, at the
// first order that strike reports true for, and returns once it does. The rank is
// reached again after a time if back is set.
func (w *world) freezeAt(
	planner *worldPlanner,
	self foxtailstack.Rank,
	back bool,
	strike func(Order) bool,
) {
	struck := make(chan struct{})
	done := false
	w.mu.Lock()
	w.fate = func(_ foxtailstack.Rank, order Order) fate {
		if done || !strike(order) {
			return delivered
		}
		done = true
		w.ranks[self].cut = true
		planner.freeze(freezeTime)
		if back {
			time.AfterFunc(freezeTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.ranks[self].cut = false
			})
		}
		close(struck)
		return delivered
	}
	w.mu.Unlock()
	<-struck
}

// firstOf returns a strike at the first order of a kind.
func firstOf(action Action) func(Order) bool {
	return func(order Order) bool { return order.Action == action }
}

// armed returns a strike at the order to arm of a number.
func armed(number int) func(Order) bool {
	arms := 0
	return func(order Order) bool {
		if order.Action == Arm {
			arms++
		}
		return arms == number
	}
}

// passes returns the last pass that was begun.
func (w *world) passes() foxtailstack.Step {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.step
}

// playFrozen runs a test in a world of some ranks with a planner beside the last.
func playFrozen(
	t *testing.T,
	ranks int,
	test func(ctx context.Context, w *world, planner *worldPlanner, self foxtailstack.Rank),
) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(ranks)
		self := foxtailstack.Rank(ranks - 1)
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx)
		test(ctx, w, w.start(ctx, self, 1), self)
		time.Sleep(10 * time.Second)
		w.check(t)
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// The machine of the planner stands still right after each order of a switch, as
// it does on the users' days: the group waits for a successor, not for it.
func TestSwitchPlannerStandsStill(t *testing.T) {
	for _, action := range []Action{Prepare, Hold, Arm} {
		t.Run(string(action), func(t *testing.T) {
			playFrozen(t, 4, func(ctx context.Context, w *world, planner *worldPlanner, self foxtailstack.Rank) {
				w.freezeAt(planner, self, true, firstOf(action))
				time.Sleep(600 * time.Millisecond)
				w.start(ctx, 0, 2)
				time.Sleep(500 * time.Millisecond)
				before := w.passes()
				time.Sleep(2 * time.Second)
				if got := w.passes(); got < before+30 {
					t.Errorf("%d passes in 2 s while the former planner stands still", got-before)
				}
			})
		})
	}
}

// Pattern: the machine of the planner stands still while the group is held. The
// group stands still with it until the successor has released it, so each question
// that the successor waits for in vain is paid by all requests. It strikes after
// each of the orders to arm in turn, the last of which is for the planner's own
// rank.
func TestSuccessorReleasesSoon(t *testing.T) {
	const (
		ranks = 8
		soon  = 400 * time.Millisecond
	)
	for strike := 1; strike <= ranks; strike++ {
		t.Run(fmt.Sprintf("after %d arms", strike), func(t *testing.T) {
			playFrozen(t, ranks, func(ctx context.Context, w *world, planner *worldPlanner, self foxtailstack.Rank) {
				w.freezeAt(planner, self, false, armed(strike))
				time.Sleep(500 * time.Millisecond) // the group is at the pass before which it is held
				before := w.passes()
				w.start(ctx, 0, 2)
				time.Sleep(soon)
				if w.passes() == before {
					t.Errorf("the group is still held %s after the successor began", soon)
				}
			})
		})
	}
}

// The sidecar that armed the rank of a planner starts anew, and the planner's machine
// stands still: nobody knows whether that rank is armed, and the group has to wait
// for it.
func TestForgottenArmIsNotUndone(t *testing.T) {
	const ranks = 4
	playFrozen(t, ranks, func(ctx context.Context, w *world, planner *worldPlanner, self foxtailstack.Rank) {
		w.freezeAt(planner, self, true, armed(ranks))
		w.mu.Lock()
		for _, r := range w.ranks {
			r.witness = ArmRecord{}
		}
		w.mu.Unlock()
		w.start(ctx, 0, 2)
		time.Sleep(10 * time.Second)
		if got := w.passes(); got < 100 {
			t.Errorf("%d passes in 10 s: the group did not go on once the rank was back", got)
		}
	})
}
