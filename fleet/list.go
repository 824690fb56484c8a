package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// listInterval and listCost are the time between two reads of the list of
	// instances, without and for each instance in it. An instance takes some 150
	// bytes, so that a process spends at most 2.5 KB a second on the list.
	listInterval = 10 * time.Second
	listCost     = 60 * time.Millisecond
	// emptyListInterval is the time between two reads of a list that is empty
	// or cannot be had.
	emptyListInterval = 2 * time.Second
	// nudgeInterval is the shortest time between two reads of the list.
	nudgeInterval = 2 * time.Second
	// summaryInterval is the time between two summaries to the other roots, and
	// calmInterval that while the same revision is in force everywhere.
	summaryInterval = 500 * time.Millisecond
	calmInterval    = 1500 * time.Millisecond
)

// watchList reads the list of instances from time to time.
func (s *Spreader) watchList(ctx context.Context) {
	for {
		interval := emptyListInterval
		if n := s.planned().listed; n > 0 {
			interval = listInterval + time.Duration(n)*listCost
		}
		if !sleep(ctx, nudgeInterval) {
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
		s.plan.Store(&plan{poll: true})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := s.List.Instances(ctx)
	if err == nil {
		p := newPlan(s.Self, list)
		s.plan.Store(&p)
		s.peak.Store(0)
		return
	}
	if s.plan.Load() == nil {
		s.plan.Store(&plan{
			poll:    true,
			unknown: true,
		})
	}
}

// exchange tells the other roots what is in force below this one.
func (s *Spreader) exchange(ctx context.Context) {
	busy := &inFlight{}
	for {
		p := s.planned()
		if p.root && s.Ready() && s.settled() {
			message := summary{
				Instance: s.Self.Name,
				Counts:   s.census.subtree(s.Replica.Snapshot().Revision),
			}
			for _, address := range p.roots {
				if busy.begin(address) {
					go func() {
						defer busy.end(address)
						s.tell(ctx, address, message)
					}()
				}
			}
		}
		interval := calmInterval
		if len(s.counts()) > 1 {
			interval = summaryInterval
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}

// tell sends a summary to another root; the next one makes up for a lost one.
func (s *Spreader) tell(ctx context.Context, address foxtailstack.Address, message summary) {
	stream, err := s.Dialer.Open(ctx, address, StreamSummary)
	if err != nil {
		return
	}
	if stream.Send(message) != nil {
		stream.Cancel()
		return
	}
	_ = stream.CloseSend()
}

// inFlight holds the addresses that are being told. The zero value is empty.
type inFlight struct {
	mu        sync.Mutex
	addresses map[foxtailstack.Address]bool
}

// begin reports whether an address is not being told yet, and adds it.
func (f *inFlight) begin(address foxtailstack.Address) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addresses[address] {
		return false
	}
	if f.addresses == nil {
		f.addresses = map[foxtailstack.Address]bool{}
	}
	f.addresses[address] = true
	return true
}

// end removes an address.
func (f *inFlight) end(address foxtailstack.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.addresses, address)
}
