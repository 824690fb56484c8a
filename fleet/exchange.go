package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
)

const (
	// summaryInterval is the time between two exchanges with another root, and
	// calmInterval that while the same revision is in force everywhere.
	summaryInterval = 500 * time.Millisecond
	calmInterval    = 2 * time.Second
	// summaryTimeout bounds one exchange. It is longer than the silence after
	// which a connection to a dead peer is given up.
	summaryTimeout = 3500 * time.Millisecond
)

// exchange swaps summaries with the other roots. Of each pair, the one whose
// name comes first opens the exchange.
func (s *Spreader) exchange(ctx context.Context) {
	busy := map[foxtailstack.Address]*sync.Mutex{}
	for {
		changed := s.Replica.Changed()
		p := s.planned()
		for _, other := range p.roots {
			if !p.root || !s.Ready() || s.Self.Name > other.Name {
				continue
			}
			if busy[other.Address] == nil {
				busy[other.Address] = &sync.Mutex{}
			}
			go s.swap(ctx, other.Address, busy[other.Address])
		}
		interval := calmInterval
		if len(s.counts()) > 1 {
			interval = summaryInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-changed:
			timer.Stop()
			_ = clock.Sleep(ctx, summaryInterval) // the loop sees the end of ctx
		}
	}
}

// summary returns what is in force below this root, or nothing while the process
// may still be counted elsewhere, also by a peer that takes it for a root already.
func (s *Spreader) summary() summary {
	message := summary{Instance: s.Self.Name}
	if s.planned().root && s.settled() {
		message.Counts = s.census.subtree(s.Replica.Snapshot().Revision)
	}
	return message
}

// swap exchanges summaries with another root, unless the exchange before is
// still going on. The next one makes up for a lost one.
func (s *Spreader) swap(ctx context.Context, address foxtailstack.Address, busy *sync.Mutex) {
	if !busy.TryLock() {
		return
	}
	defer busy.Unlock()
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	stream, err := s.Dialer.Open(ctx, address, StreamSummary)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, stream.Cancel)()
	defer stream.Cancel()
	var answer summary
	if stream.Send(s.summary()) == nil && stream.Receive(&answer) == nil {
		s.census.setRoot(answer)
	}
}

// takeSummary takes the summary of another root and answers with the own one.
func (s *Spreader) takeSummary(stream Stream) {
	var message summary
	if stream.Receive(&message) != nil {
		return
	}
	s.census.setRoot(message)
	_ = stream.Send(s.summary()) // the next exchange makes up for a lost one
}
