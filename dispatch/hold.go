package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack/route"
)

// HoldCause names what keeps a request waiting although ranks have free slots.
type HoldCause uint8

// The causes.
const (
	// NotHeld means that no rank had a free slot, or that the request did not wait.
	NotHeld HoldCause = iota
	// HeldByShare means that this process had used up its share of the free slots.
	HeldByShare
	// HeldByReserve means that the free slots were kept for more urgent requests.
	HeldByReserve
	// HeldByPasses means that the free slots were left so that passes stay short.
	HeldByPasses
	// HeldByLate means that the request was late, and the free slots were left to requests
	// that could still be on time.
	HeldByLate

	holdCauses
)

// String returns the name of the cause, which is empty for NotHeld.
func (c HoldCause) String() string {
	switch c {
	case HeldByShare:
		return "share"
	case HeldByReserve:
		return "reserve"
	case HeldByPasses:
		return "passes"
	case HeldByLate:
		return "late"
	default:
		return ""
	}
}

// holdCounts counts ranks with free slots by what kept a request from them.
type holdCounts [holdCauses]int

// main returns the cause that kept the request from the most ranks.
func (c *holdCounts) main() HoldCause {
	most := NotHeld
	for cause := NotHeld + 1; cause < holdCauses; cause++ {
		if c[cause] > c[most] {
			most = cause
		}
	}
	return most
}

// holdCause returns what keeps a request of a tier from a rank that does not accept it.
func (q *queue) holdCause(state *upstreamState, t tier, a allotment, late bool, now time.Time) HoldCause {
	group := q.group(state.group)
	load := state.load(now)
	switch {
	case !state.reachable(now) || load > float64(group.maxSlots)-1:
		return NotHeld
	case load > float64(state.slots)-1:
		return HeldByPasses
	case load > float64(a.slots)-1 && t.least && group.passRoom.requests(float64(state.slots)) < float64(state.slots)-t.reserved:
		return HeldByPasses
	case load > float64(a.slots)-1:
		return HeldByReserve
	case late && state.lateFull(now):
		return HeldByLate
	case t.least && group.passRoom.binds:
		return HeldByPasses
	}
	return HeldByShare
}

// freeSlots returns the number of slots that are taken to be free at the ranks of a service.
// The caller holds mu.
func (s *Scheduler) freeSlots(q *queue, ready []route.Upstream, now time.Time) int {
	free := 0
	for i := range ready {
		state := s.upstream(ready[i].Name)
		free += max(0, q.group(state.group).maxSlots-int(state.load(now)))
	}
	return free
}

// holdBack records at a waiter, when it is first held back, what keeps it waiting. The caller
// holds mu.
func (s *Scheduler) holdBack(q *queue, w *waiter, now time.Time) {
	cause := q.holds.main()
	if cause == NotHeld || w.held.Cause != NotHeld {
		return
	}
	w.held = q.roomState(q.tier(w.request.Urgency, now), now)
	w.held.Cause = cause
	w.held.Free = s.freeSlots(q, s.Fleet().Ready(w.request.Service), now)
}
