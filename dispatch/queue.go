package dispatch

import (
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack/route"
)

// rescanInterval is the time after which the queue is served again if no upstream could
// take a waiting request.
const rescanInterval = 25 * time.Millisecond

// waiter is a queued request.
type waiter struct {
	request    Request
	enqueuedAt time.Time
	result     chan acquireResult
	// held is the room in which the request was first held back.
	held RoomState
}

// acquireResult ends the wait of a request: with a reservation or with an error.
type acquireResult struct {
	reservation *Reservation
	err         error
}

// unservable reports whether the request would be if it were sent at sentAt.
func (w *waiter) unservable(sentAt time.Time) bool {
	return w.request.unservable(sentAt, 0)
}

// expired reports whether a time is after a limit. The zero limit never expires.
func expired(limit, at time.Time) bool {
	return !limit.IsZero() && at.After(limit)
}

// queue holds the waiting requests of a service and the state of its groups.
type queue struct {
	// avgResponseSeconds is the moving average of the response times of all upstreams, in
	// seconds; zero if it is not known.
	avgResponseSeconds float64
	waiters            []*waiter
	// groups holds the states of the groups. Upstreams whose group is not known share the
	// one of the empty name.
	groups map[GroupName]*groupState
	// blocked reports that the waiter that was last tried could not be sent and that a
	// circuit breaker kept it from at least one upstream. While it is set, the expected
	// wait is unknown.
	blocked bool
	// holds counts the ranks with free slots that did not accept the waiter that was last
	// tried.
	holds holdCounts
	// timer serves the queue at timerDue; nil if none is set.
	timer    *time.Timer
	timerDue time.Time
	// served is the rate at which the waiters are served. The time during which no request
	// waits is left out, and it starts anew if that is longer than rateTTL or a circuit
	// breaker blocks: otherwise it would measure the arrivals and not what could be served.
	served serviceRate
	// room decides how many slots each urgency may use. ranks is the number of ready
	// upstreams.
	room  room
	ranks int
	// emptiedAt is the time at which the last waiter was removed.
	emptiedAt time.Time
}

// add appends a waiter to the queue.
func (q *queue) add(w *waiter) {
	if len(q.waiters) == 0 {
		q.resumeRate(w.enqueuedAt)
	}
	q.waiters = append(q.waiters, w)
}

// remove takes a waiter out of the queue, if it is there.
func (q *queue) remove(w *waiter) {
	at := slices.Index(q.waiters, w)
	if at >= 0 {
		q.waiters = slices.Delete(q.waiters, at, at+1)
	}
	if len(q.waiters) == 0 {
		q.emptiedAt = time.Now()
	}
}

// usableSlots returns how many slots of an upstream with a given state are used, which are
// all unless it is a rank of a group.
func (q *queue) usableSlots(u *route.Upstream, state *upstreamState, grouped bool) int {
	if !grouped {
		return u.Slots
	}
	group := q.group(state.group)
	group.maxSlots = u.Slots
	return group.slotLimit.slots(u.Slots, state.phase)
}

// accepts reports whether a rank may get a request of a tier.
func (q *queue) accepts(state *upstreamState, t tier, late bool, now time.Time) bool {
	group := q.group(state.group)
	a := t.allotment(state, &group.passRoom, q.allowance(state.group), group.maxSlots)
	if state.accepts(a, late, now) {
		return true
	}
	q.holds[q.holdCause(state, t, a, late, now)]++
	return false
}

// group returns the state of a group.
func (q *queue) group(name GroupName) *groupState {
	return getOrCreate(&q.groups, name)
}

// breaker returns the circuit breaker of a group.
func (q *queue) breaker(group GroupName) *circuitBreaker {
	return &q.group(group).breaker
}

// passTime returns the duration of a pass of the group that is the fastest, or zero if none
// is known.
func (q *queue) passTime(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, group := range q.groups {
		passTime := group.passEstimator.passTime(now)
		if passTime > 0 && (shortest == 0 || passTime < shortest) {
			shortest = passTime
		}
	}
	return shortest
}

// broken reports whether one of the groups does not work.
func (q *queue) broken() bool {
	for _, group := range q.groups {
		if group.breaker.open {
			return true
		}
	}
	return false
}

// hopeless reports whether all known groups are broken and have been for long.
func (q *queue) hopeless(now time.Time) bool {
	known := 0
	for name, group := range q.groups {
		if name == "" {
			continue
		}
		if !group.breaker.lasting(now) {
			return false
		}
		known++
	}
	return known > 0
}

// allowance returns the fraction of the free slots of a group that this process may take. A
// rank whose group is not known is taken to be in the one that leaves it least.
func (q *queue) allowance(name GroupName) float64 {
	if name != "" {
		return q.loadShare(name).allowance()
	}
	least := 1.0
	for known, group := range q.groups {
		if known != "" {
			least = min(least, group.loadShare.allowance())
		}
	}
	return least
}

// loadShare returns this process's load share at a group.
func (q *queue) loadShare(group GroupName) *loadShare {
	return &q.group(group).loadShare
}

// getOrCreate returns the value of a key and adds a zero one if there is none.
func getOrCreate[K comparable, V any](m *map[K]*V, key K) *V {
	if *m == nil {
		*m = make(map[K]*V)
	}
	v, ok := (*m)[key]
	if !ok {
		v = new(V)
		(*m)[key] = v
	}
	return v
}

// resumeRate goes on measuring the rate after the queue was empty for no longer than
// rateTTL, and starts anew otherwise.
func (q *queue) resumeRate(now time.Time) {
	idle := now.Sub(q.emptiedAt)
	if idle > rateTTL {
		q.served.restart(now)
		return
	}
	q.served.pause(idle)
}

// overloadError returns the error for a request that is refused now.
func (q *queue) overloadError(w *waiter, now time.Time) error {
	urgency := w.request.Urgency
	wait, _ := q.expectedWait(urgency, now)
	return &OverloadError{
		Queued:   len(q.waiters),
		Ahead:    q.ahead(urgency),
		Wait:     wait,
		PassTime: q.passTime(now),
		Broken:   q.broken(),
		Yields:   q.served.yields(urgency),
		Held:     w.held,
	}
}

// expectedWait returns how long a request of an urgency that arrives now would wait, or
// false if that is not known. Less urgent waiters do not delay it.
func (q *queue) expectedWait(urgency int, now time.Time) (time.Duration, bool) {
	rate := q.served.rate(urgency, now)
	if q.blocked || rate == 0 {
		return 0, false
	}
	return time.Duration(float64(q.ahead(urgency)) / rate * float64(time.Second)), true
}
