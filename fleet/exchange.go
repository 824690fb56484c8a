package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// summaryInterval is the time between two summaries to the other roots, and
	// calmInterval that while the same revision is in force everywhere.
	summaryInterval = 500 * time.Millisecond
	calmInterval    = 2 * time.Second
)

// exchange tells the other roots what is in force below this one.
func (s *Spreader) exchange(ctx context.Context) {
	links := map[foxtailstack.Address]*link{}
	defer func() {
		for _, l := range links {
			l.cancel()
		}
	}()
	for {
		changed := s.Replica.Changed()
		p := s.planned()
		if p.root && s.Ready() && s.settled() {
			s.tellAll(ctx, p.roots, links)
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
			sleep(ctx, summaryInterval)
		}
	}
}

// tellAll sends a summary to the other roots over links that stay open.
func (s *Spreader) tellAll(ctx context.Context, roots []foxtailstack.Address, links map[foxtailstack.Address]*link) {
	message := summary{
		Instance: s.Self.Name,
		Counts:   s.census.subtree(s.Replica.Snapshot().Revision),
	}
	for _, address := range roots {
		l := links[address]
		if l == nil {
			l = &link{}
			links[address] = l
		}
		go l.tell(ctx, s.Dialer, address, message)
	}
}

// link is the stream to another root. The zero value is not open yet.
type link struct {
	busy   sync.Mutex
	mu     sync.Mutex
	stream Stream
}

// tell sends a summary, unless the one before is still being sent; the next one
// makes up for a lost one.
func (l *link) tell(ctx context.Context, dialer Dialer, address foxtailstack.Address, message summary) {
	if !l.busy.TryLock() {
		return
	}
	defer l.busy.Unlock()
	stream := l.current()
	if stream == nil {
		opened, err := dialer.Open(ctx, address, StreamSummary)
		if err != nil {
			return
		}
		l.set(opened)
		stream = opened
	}
	if stream.Send(message) != nil {
		l.cancel()
	}
}

// current returns the open stream, or nil.
func (l *link) current() Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream
}

// set keeps an open stream.
func (l *link) set(stream Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream = stream
}

// cancel ends the stream if it is open.
func (l *link) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stream != nil {
		l.stream.Cancel()
		l.stream = nil
	}
}
