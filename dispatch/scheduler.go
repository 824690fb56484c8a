package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// Scheduler assigns requests to upstreams and queues those that no upstream has room
// for. It must not be copied after first use.
type Scheduler struct {
	// Fleet returns the present list of upstreams.
	Fleet func() *route.Fleet
	// Instance is the name of this entry. By it the turns of entries at an upstream that
	// names a limit do not come together.
	Instance foxtailstack.InstanceName
	// Cold returns what the upstreams of a service take while they are cold. It may be nil.
	Cold func(service foxtailstack.ServiceName) ColdLimit
	// Log gets a log line each time a rank turns silent or slow, or a group breaks,
	// and when a status or a probe shows that this has ended; it may be nil.
	Log *zap.Logger

	mu        sync.Mutex
	upstreams map[foxtailstack.UpstreamName]*upstreamState
	queues    map[foxtailstack.ServiceName]*queue
	// pausedUntil is the latest of those of all upstreams.
	pausedUntil time.Time
	// limited holds the upstreams that name a limit or are cold.
	limited map[foxtailstack.UpstreamName]bool
	// ownLoad is this process's part of the load of upstreams that work alone.
	ownLoad ownLoad
	// evacuations holds the data centres that are evacuated.
	evacuations map[foxtailstack.DataCentre]*evacuation
}

// Acquire returns a reservation and waits for one if necessary. It returns
// ErrOverloaded as soon as it is known that the request cannot be served in time,
// ErrNoUpstream if the request is allowed at none of the ready upstreams, and
// ErrQueueTimeout if ctx ends first.
func (s *Scheduler) Acquire(ctx context.Context, request Request) (*Reservation, error) {
	w := &waiter{
		request:    request,
		enqueuedAt: time.Now(),
		result:     make(chan acquireResult, 1),
	}
	err := s.enqueue(w)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-w.result:
		return result.reservation, result.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.queue(request.Service).remove(w)
	s.mu.Unlock()
	select {
	case result := <-w.result:
		if result.reservation != nil {
			result.reservation.Release(Report{})
		}
	default:
	}
	return nil, ErrQueueTimeout
}

// enqueue adds a waiter to the queue of its service and serves the queue.
func (s *Scheduler) enqueue(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(w.request.Service)
	limited, err := s.candidates(&w.request, w.enqueuedAt)
	if err != nil {
		return err
	}
	err = limited.admit(&w.request, w.enqueuedAt, q.ahead(w.request.Urgency))
	if err != nil {
		return err
	}
	q.room.arrive(w.request.Urgency, w.enqueuedAt)
	if w.request.Grouped {
		q.setPassBounds(w.request.PassBounds)
	}
	wait, known := q.expectedWait(w.request.Urgency, w.enqueuedAt)
	if known && !w.request.Begun && q.ahead(w.request.Urgency) > 0 && w.unservable(w.enqueuedAt.Add(wait)) {
		return q.overloadError(w, w.enqueuedAt)
	}
	if w.request.Grouped && q.hopeless(w.enqueuedAt) {
		return q.overloadError(w, w.enqueuedAt)
	}
	q.add(w)
	s.serve(q)
	return nil
}

// ObserveLoad records the load that an upstream reported, as its load at present. A
// nil load is ignored.
func (s *Scheduler) ObserveLoad(name foxtailstack.UpstreamName, load *exchange.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.upstream(name)
	fraction := 1.0
	u, ok := s.Fleet().Lookup(name)
	if ok && state.group != "" {
		fraction = s.queue(u.Service).loadShare(state.group).allowance()
	}
	if load != nil && ok && state.group == "" {
		s.ownLoad.observe(load, state.running)
	}
	now := time.Now()
	if ok {
		q := s.queue(u.Service)
		state.yieldSlots = q.lastTier(now).slots(state, &q.group(state.group).passRoom)
	}
	state.observeLoad(load, now, newQuotaDivider(fraction, fraction))
}

// FleetChanged drops the state of upstreams that have left the fleet and have no
// running requests of this process, and serves the queues again. The caller calls it
// after each change of the fleet.
func (s *Scheduler) FleetChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet := s.Fleet()
	for name, state := range s.upstreams {
		_, ok := fleet.Lookup(name)
		if !ok && state.running == 0 {
			delete(s.upstreams, name)
		}
	}
	s.dropLimits(fleet)
	s.checkEmpty(fleet)
	s.observeColdFleet(fleet)
	s.endCold(time.Now())
	for _, q := range s.queues {
		s.serve(q)
	}
}

// serve grants reservations to the waiters of a queue in their order. A request that
// no upstream can take now does not block the requests behind it. The caller holds
// mu.
func (s *Scheduler) serve(q *queue) {
	if len(q.waiters) == 0 {
		return
	}
	now := time.Now()
	s.endCold(now)
	for _, w := range q.order(now) {
		if w.unservable(now) {
			q.remove(w)
			w.result <- acquireResult{err: q.overloadError(w, now)}
			continue
		}
		err := s.waitError(w, now)
		if err != nil {
			q.remove(w)
			w.result <- acquireResult{err: err}
			continue
		}
		reservation, wait := s.pick(&w.request, w.late(now), now)
		q.blocked = wait > 0
		if q.blocked {
			q.served.restart(now)
		}
		if reservation == nil {
			s.holdBack(q, w, now)
			s.serveLater(q, max(wait, rescanInterval))
			continue
		}
		q.remove(w)
		q.served.count(w.request.Urgency, now)
		reservation.Held = w.held
		w.result <- acquireResult{reservation: reservation}
	}
}

// serveLater schedules the queue to be served again after wait, unless its timer
// runs out earlier. The caller holds mu.
func (s *Scheduler) serveLater(q *queue, wait time.Duration) {
	due := time.Now().Add(wait)
	if q.timer != nil {
		if !due.Before(q.timerDue) {
			return
		}
		q.timer.Stop()
	}
	q.timerDue = due
	q.timer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		q.timer = nil
		s.serve(q)
	})
}

// upstream returns the state of an upstream. The caller holds mu.
func (s *Scheduler) upstream(name foxtailstack.UpstreamName) *upstreamState {
	_, known := s.upstreams[name]
	state := getOrCreate(&s.upstreams, name)
	if !known {
		state.phase = phaseOf(string(name)) // the same at all entries
		state.remainder = rand.Float64()
	}
	return state
}

// queue returns the queue of a service. The caller holds mu.
func (s *Scheduler) queue(service foxtailstack.ServiceName) *queue {
	return getOrCreate(&s.queues, service)
}
