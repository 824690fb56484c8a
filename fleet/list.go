package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
)

const (
	// listInterval and listCost are the time between two reads of the list of
	// instances, without and for each instance in it. An instance takes some 150
	// bytes, so that a process spends at most 1.3 KB a second on the list.
	listInterval = 10 * time.Second
	listCost     = 120 * time.Millisecond
	// emptyListInterval is the time between two reads of a list that is empty
	// or cannot be had.
	emptyListInterval = 2 * time.Second
	// nudgeInterval and nudgeCost are the shortest time between two reads of the
	// list, without and for each instance in it.
	nudgeInterval = 2 * time.Second
	nudgeCost     = 10 * time.Millisecond
)

// watchList reads the list of instances from time to time.
func (s *Spreader) watchList(ctx context.Context) {
	for {
		n := time.Duration(s.planned().listed)
		interval := emptyListInterval
		if n > 0 {
			interval = listInterval + n*listCost
		}
		if clock.Sleep(ctx, nudgeInterval+n*nudgeCost) != nil {
			return
		}
		timer := time.NewTimer(jitter(interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-s.nudge:
			timer.Stop()
		}
		s.refresh(ctx)
	}
}

// lookAgain asks for a read of the list ahead of time.
func (s *Spreader) lookAgain() {
	select {
	case s.nudge <- struct{}{}:
	default:
	}
}

// refresh makes a new plan by the list of instances. A list that cannot be had
// leaves the former plan in use.
func (s *Spreader) refresh(ctx context.Context) {
	if s.List == nil {
		s.plan.Store(&plan{
			poll:     true,
			capacity: minCapacity,
		})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := s.List.Instances(ctx)
	if err == nil {
		s.adopt(list)
		return
	}
	if s.plan.Load() == nil {
		s.plan.Store(&plan{
			poll:     true,
			unknown:  true,
			capacity: minCapacity,
		})
	}
}

// adopt makes a new plan by a list. One that does not name this process tells
// nothing of others either: those known before go on counting.
func (s *Spreader) adopt(list []foxtailstack.Instance) {
	p := newPlan(s.Self, list)
	if p.root != s.planned().root {
		s.move() // before anybody can see the new plan
	}
	named := slices.ContainsFunc(list, func(i foxtailstack.Instance) bool { return i.Name == s.Self.Name })
	if !named {
		s.raisePeak(s.planned().listed)
		s.plan.Store(&p)
		return
	}
	s.plan.Store(&p)
	s.peak.Store(0)
}
