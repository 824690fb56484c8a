package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack/route"
)

// maxSampled is the number of randomly drawn ranks among which the cheapest is
// picked (power of two choices).
const maxSampled = 2

// pick returns a reservation at the cheapest upstream that may get the request. If
// there is none it returns nil, and the time until the circuit breaker of one of the
// groups lets a request pass; zero if no breaker keeps the request back.
//
// Upstreams that are ejected or have just refused a request (see avoided) are used
// last. A rank gets no request while all its slots are taken, because a request that
// waits there delays all that come after it, nor while it is slow or silent, unless
// too many ranks are (see maxSilentDivisor and maxSlowDivisor). Of the ranks of a
// group only maxSampled are compared: all entries receive the same loads at the same
// time and would otherwise all send to the least loaded ranks, as a thundering herd.
// A late request, which is past its soft deadline, leaves some slots free for
// requests that can still be on time. The caller holds mu.
func (s *Scheduler) pick(request *Request, late bool, now time.Time) (*Reservation, time.Duration) {
	if len(request.Placement) > 0 {
		return s.place(request, now), 0
	}
	q := s.queue(request.Service)
	breakerWait := time.Duration(0)
	var best *route.Upstream
	bestAvoided := true
	bestCost := 0.0
	ready := s.Fleet().Ready(request.Service)
	sampled := 0
	place := tier{begun: true}
	if !request.Begun {
		place = q.tier(request.Urgency, now)
	}
	fastest := q.fastestPace(now)
	q.holds = holdCounts{}
	order := newRandomOrder(len(ready))
	for range ready {
		u := &ready[order.next()]
		if !request.allows(u) {
			continue
		}
		state := s.upstream(u.Name)
		if request.Suspect && state.suspects > 0 || !state.wanted(now) {
			continue
		}
		state.slots = q.usableSlots(u, state, request.Grouped)
		if request.Grouped && !q.accepts(state, place, late, now) {
			continue
		}
		_, wait := q.breaker(state.group).check(now)
		if wait > 0 {
			breakerWait = wait
			continue
		}
		avoided := state.avoided(now)
		if request.Grouped && !avoided {
			sampled++
		}
		if sampled > maxSampled {
			break
		}
		if state.avgResponseSeconds == 0 {
			state.avgResponseSeconds = q.avgResponseSeconds // until it has answered
		}
		cost := state.cost(now, request.Grouped)
		if request.Grouped {
			cost *= q.group(state.group).pace.costFactor(fastest, now)
		}
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && cost < bestCost {
			best, bestAvoided, bestCost = u, avoided, cost
		}
	}
	if best == nil {
		return nil, breakerWait
	}
	return s.reserveAt(request, best, now), 0
}

// reserveAt returns a reservation at an upstream. The caller holds mu.
func (s *Scheduler) reserveAt(request *Request, u *route.Upstream, now time.Time) *Reservation {
	state := s.upstream(u.Name)
	state.addRunning(1, now)
	state.turns.take(s.turnShare(), now)
	if request.Suspect {
		state.suspects++
	}
	reservation := &Reservation{
		Upstream:  *u,
		scheduler: s,
		service:   request.Service,
		breaker:   s.queue(request.Service).breaker(state.group),
		suspect:   request.Suspect,
		urgency:   request.Urgency,
		begunAt:   now,
	}
	s.queue(request.Service).room.begin(request.Urgency)
	reservation.probe, _ = reservation.breaker.check(now)
	if reservation.probe {
		reservation.breaker.probeSentAt = now
	}
	return reservation
}
