package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
)

// placementDelay is how long a group must have worked before it gets requests with a
// Placement. Requests that waited while it was broken are answered meanwhile, which also
// shows that their parts are no cause of crashes.
const placementDelay = time.Second

// place returns a reservation for a request with a Placement, or nil if no upstream can be
// used. It is at the upstream of the request's slot or the next one that can be used. A
// full rank is used all the same: such requests are few, and at another rank they would be
// beside other suspects. The caller holds mu.
func (s *Scheduler) place(request *Request, now time.Time) *Reservation {
	ready := s.Fleet().Ready(request.Service) // in the order of their names
	if len(ready) == 0 {
		return nil
	}
	slot := placementSlot(request.Placement, len(ready))
	var best *route.Upstream
	for i := range ready {
		u := &ready[(slot+i)%len(ready)]
		if !request.allows(u) || !s.placeable(request, u.Name, now) {
			continue
		}
		if !s.upstream(u.Name).avoided(now) {
			best = u
			break
		}
		if best == nil {
			best = u
		}
	}
	if best == nil {
		return nil
	}
	state := s.upstream(best.Name)
	state.slots = s.queue(request.Service).usableSlots(best, state, request.Grouped)
	return s.reserveAt(request, best, now)
}

// placementSlot returns the slot of the last of some suspects if each gets the slot of its
// number, modulo slots, or the next one that is free. Once all are taken, all are free
// again.
func placementSlot(suspects []uint64, slots int) int {
	taken := make([]bool, slots)
	free := slots
	slot := 0
	for _, number := range suspects {
		if free == 0 {
			clear(taken)
			free = slots
		}
		slot = int(number % uint64(slots))
		for taken[slot] {
			slot = (slot + 1) % slots
		}
		taken[slot] = true
		free--
	}
	return slot
}

// placeable reports whether a request with a Placement may be sent to an upstream. It is
// used as the probe of a broken group only if no other request was for placementDelay. The
// caller holds mu.
func (s *Scheduler) placeable(request *Request, name foxtailstack.UpstreamName, now time.Time) bool {
	state := s.upstream(name)
	if state.suspects > 0 || !state.wanted(now) || request.Grouped && !state.reachable(now) {
		return false
	}
	breaker := s.queue(request.Service).breaker(state.group)
	return breaker.closedFor(placementDelay, now) || breaker.unprobed(placementDelay, now)
}
