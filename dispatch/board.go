package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// Scheduler hands out tickets. It must not be copied after first use.
type Scheduler struct {
	// Fleet returns the present list of upstreams.
	Fleet func() *route.Fleet
	// Log takes a line for each change of what is believed of ranks and groups; it
	// may be nil.
	Log *zap.Logger

	mu       sync.Mutex
	peers    map[foxtailstack.UpstreamName]*peer
	services map[foxtailstack.ServiceName]*queue
}

// Acquire returns a ticket, after waiting for one if need be. It returns
// ErrCrowded as soon as it is known that the request cannot be served in time, and
// ErrNoUpstream if it may go to none of the upstreams that are ready.
func (b *Scheduler) Acquire(ctx context.Context, ask Request) (*Reservation, error) {
	w := &waiter{
		ask:     ask,
		since:   time.Now(),
		granted: make(chan grant, 1),
	}
	err := b.enqueue(w)
	if err != nil {
		return nil, err
	}
	select {
	case g := <-w.granted:
		return g.ticket, g.err
	case <-ctx.Done():
	}
	b.mu.Lock()
	b.queue(ask.Service).remove(w)
	b.mu.Unlock()
	select {
	case g := <-w.granted:
		if g.ticket != nil {
			g.ticket.Release(Report{})
		}
	default:
	}
	return nil, ErrQueueTimeout
}

// enqueue adds a waiter to its queue and serves that.
func (b *Scheduler) enqueue(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.suits(&w.ask) {
		return ErrNoUpstream
	}
	q := b.queue(w.ask.Service)
	wait, known := q.wait(w.since)
	if known && len(q.waiting) > 0 && w.hopeless(w.since.Add(wait)) {
		return q.crowded(w.since)
	}
	q.add(w)
	b.serve(q)
	return nil
}

// suits reports whether the request may go to some upstream that is ready, now or
// once it has room. The caller holds mu.
func (b *Scheduler) suits(ask *Request) bool {
	for _, u := range b.Fleet().Ready(ask.Service) {
		if ask.allows(u.Name) {
			return true
		}
	}
	return false
}

// ObserveLoad records what an upstream said of its load.
func (b *Scheduler) ObserveLoad(name foxtailstack.UpstreamName, load *exchange.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peer(name)
	share := 1.0
	u, ok := b.Fleet().Lookup(name)
	if ok && p.group != "" {
		share = b.queue(u.Service).stake(p.group).share()
	}
	p.tell(load, time.Now(), newPortions(share))
}

// FleetChanged tells that the fleet has changed.
func (b *Scheduler) FleetChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	fleet := b.Fleet()
	for name, p := range b.peers {
		_, ok := fleet.Lookup(name)
		if !ok && p.running == 0 {
			delete(b.peers, name)
		}
	}
	for _, q := range b.services {
		b.serve(q)
	}
}

// serve grants tickets to those that wait, in order. One that no upstream suits
// does not hold up those behind it. The caller holds mu.
func (b *Scheduler) serve(q *queue) {
	if len(q.waiting) == 0 {
		return
	}
	now := time.Now()
	for _, w := range q.order(now) {
		if w.hopeless(now) {
			q.remove(w)
			w.granted <- grant{err: q.crowded(now)}
			continue
		}
		if len(w.ask.Excluded) > 0 && !b.suits(&w.ask) {
			q.remove(w)
			w.granted <- grant{err: ErrNoUpstream}
			continue
		}
		t, wait := b.pick(&w.ask, w.late(now), now)
		q.shut = wait > 0
		if q.shut {
			q.restart(now)
		}
		if t == nil {
			b.later(q, max(wait, retryPause))
			continue
		}
		q.remove(w)
		q.count(now)
		w.granted <- grant{ticket: t}
	}
}

// later serves a queue again after a time, unless that is to happen earlier. The
// caller holds mu.
func (b *Scheduler) later(q *queue, wait time.Duration) {
	due := time.Now().Add(wait)
	if q.timer != nil {
		if !due.Before(q.due) {
			return
		}
		q.timer.Stop()
	}
	q.due = due
	q.timer = time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		q.timer = nil
		b.serve(q)
	})
}

// peer returns what is known of an upstream. The caller holds mu.
func (b *Scheduler) peer(name foxtailstack.UpstreamName) *peer {
	return entryOf(&b.peers, name)
}

// queue returns the queue of a service. The caller holds mu.
func (b *Scheduler) queue(service foxtailstack.ServiceName) *queue {
	return entryOf(&b.services, service)
}
