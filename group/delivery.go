package group

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

const (
	// orderTimeout bounds one attempt to send an order, prolonged by
	// localPrepareTimeout for an order to prepare, and one request for a report.
	// An order that was accepted and not carried out is sent again after it.
	orderTimeout = 150 * time.Millisecond
	// directOrderTimeout is the same for the orders to hold and to release the group, which
	// go straight to the rank: while they are unanswered the held pass comes nearer, or the
	// group stands still. directRetryInterval replaces orderRetryInterval for them.
	directOrderTimeout  = 25 * time.Millisecond
	directRetryInterval = 5 * time.Millisecond
	// orderRetryInterval is the time between two polls of a rank's report. An
	// order that was not accepted is sent again after it.
	orderRetryInterval = 30 * time.Millisecond
)

// orderAll sends an order to ranks concurrently, until each has carried it out. Most
// get it through the sidecars of others, which confirm that it was carried out; those
// that are not confirmed get it from the planner. It stops early as orderUntilDone does.
func (s *switcher) orderAll(ctx context.Context, members map[foxtailstack.Rank]Member, order Order) error {
	order.Fence = s.fence
	order.Formation = s.formation
	order.Group = s.group
	ordered := make([]Member, 0, len(members))
	for _, rank := range slices.Sorted(maps.Keys(members)) {
		ordered = append(ordered, members[rank])
	}
	return concurrently(newTree(ordered, s.fanOut), func(branch branch) error {
		pending := branch.members()
		head, ok := branch.head.(Forwarder)
		if ok {
			pending = head.Forward(ctx, order, branch.rest)
			unconfirmedOrdersTotal.Add(len(pending))
		}
		return concurrently(pending, func(member Member) error {
			return s.orderUntilDone(ctx, member, member, order)
		})
	})
}

// concurrently calls f for all items at the same time and returns their joined errors.
func concurrently[T any](items []T, f func(T) error) error {
	errs := make([]error, len(items))
	var wg sync.WaitGroup
	for i, item := range items {
		wg.Go(func() { errs[i] = f(item) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// orderUntilDone sends an order through via until the report of observed shows
// that it was carried out. Both reach the same rank. An answer alone does not
// show that, since the order may be in progress. A report alone does not show
// that the rank knows the fencing token. It stops early if ctx ends, the group
// opens anew or another planner takes over.
func (s *switcher) orderUntilDone(ctx context.Context, via, observed Rank, order Order) error {
	sent := time.Time{}
	answered, accepted := false, false
	for {
		if !accepted || time.Since(sent) > orderTimeout {
			sent = time.Now()
			err := s.send(ctx, via, order)
			if isFenced(err) {
				return ErrSuperseded
			}
			accepted = err == nil
			answered = answered || accepted || errors.Is(err, ErrStateMismatch)
		}
		report, err := s.report(ctx, observed)
		if errors.Is(err, ErrFormationChanged) {
			return err
		}
		if err == nil && answered && order.doneIn(report) {
			return nil
		}
		if clock.Sleep(ctx, order.retryInterval()) != nil {
			return fmt.Errorf("order to %s map %d at pass %d: %w", order.Action, order.Map, order.Step, ErrTimeout)
		}
	}
}

// send sends an order once, with the switcher's fencing token and formation.
// It waits for at most orderTimeout, or localPrepareTimeout more for an order to
// prepare and directOrderTimeout for one to hold or release the group.
func (s *switcher) send(ctx context.Context, member Rank, order Order) error {
	timeout := orderTimeout
	switch {
	case order.Action == Prepare:
		timeout += localPrepareTimeout
	case order.direct():
		timeout = directOrderTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	order.Fence = s.fence
	order.Formation = s.formation
	order.Group = s.group
	err := member.Order(ctx, order)
	if err != nil {
		s.log.Debug("order not carried out", zap.String("action", string(order.Action)), zap.Error(err))
	}
	return err
}

// direct reports whether the planner gives the order to the rank itself, not through its
// sidecar.
func (o Order) direct() bool {
	return o.Step > 0 && (o.Action == Hold || o.Action == Release)
}

// retryInterval returns the time after which an order that was not accepted is sent again.
func (o Order) retryInterval() time.Duration {
	if o.direct() {
		return directRetryInterval
	}
	return orderRetryInterval
}
