package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retryPause is the time after which those that no upstream suits look again.
	retryPause = 25 * time.Millisecond
	// rescueTime is how long before a request's time gets too short it goes first.
	rescueTime = 300 * time.Millisecond
	// rateWindow is the time over which the rate of a queue is taken.
	rateWindow = 2 * time.Second
)

// waiter is a request that waits for a ticket.
type waiter struct {
	ask     Ask
	since   time.Time
	granted chan grant
}

// grant is the end of a wait.
type grant struct {
	ticket *Ticket
	err    error
}

// hopeless reports whether too little time is left to serve a request that is
// sent at a time.
func (w *waiter) hopeless(at time.Time) bool {
	return passed(w.ask.Ends, at.Add(w.ask.Needs)) || passed(w.ask.Begins, at.Add(w.ask.First))
}

// passed reports whether a limit, if there is one, is before a time.
func passed(limit, at time.Time) bool {
	return !limit.IsZero() && at.After(limit)
}

// queue holds the requests of a service that wait, and whether its groups work.
type queue struct {
	waiting []*waiter
	// gates are those of its groups. Upstreams whose group is not known share that
	// of the empty name.
	gates map[GroupName]*gate
	// shut tells that only gates kept a request from being sent.
	shut  bool
	pulse pulse
	// timer serves the queue when it is due; nil if none is set.
	timer *time.Timer
	due   time.Time
	// granted counts the tickets since began, and rate is their number a second
	// in the window before.
	granted int
	began   time.Time
	rate    float64
}

// add puts a waiter into the queue.
func (q *queue) add(w *waiter) {
	q.waiting = append(q.waiting, w)
}

// remove takes a waiter out, if it is there.
func (q *queue) remove(w *waiter) {
	at := slices.Index(q.waiting, w)
	if at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
}

// order returns those that wait in the order in which they are served: first
// those whose time would soon be too short, then those that can still be on
// time, then those that are late anyway. So a backlog of late requests does not
// make all that follow late too, and none is lost while it could be served.
// Among either the urgent go first, then those that have waited longest.
func (q *queue) order(now time.Time) []*waiter {
	ordered := slices.Clone(q.waiting)
	slices.SortStableFunc(ordered, func(a, b *waiter) int {
		return cmp.Or(
			cmp.Compare(a.turn(now), b.turn(now)),
			cmp.Compare(a.ask.Urgency, b.ask.Urgency),
			a.since.Compare(b.since),
		)
	})
	return ordered
}

// turn is the group of waiters that one is served with; lower ones go first.
type turn uint8

const (
	turnLast turn = iota
	turnFresh
	turnLate
)

// turn returns when a waiter is served, relative to others.
func (w *waiter) turn(now time.Time) turn {
	switch {
	case !w.late(now):
		return turnFresh
	case w.hopeless(now.Add(rescueTime)):
		return turnLast
	default:
		return turnLate
	}
}

// late reports whether the answer will come late even if it begins now.
func (w *waiter) late(now time.Time) bool {
	return passed(w.ask.Fresh, now)
}

// gate returns the gate of a group.
func (q *queue) gate(group GroupName) *gate {
	if q.gates == nil {
		q.gates = make(map[GroupName]*gate)
	}
	g, ok := q.gates[group]
	if !ok {
		g = &gate{}
		q.gates[group] = g
	}
	return g
}

// count counts a ticket for the rate.
func (q *queue) count(now time.Time) {
	age := now.Sub(q.began)
	if age >= rateWindow {
		q.rate = float64(q.granted) / age.Seconds()
		q.granted = 0
		q.began = now
	}
	q.granted++
}

// crowded returns why a request is refused.
func (q *queue) crowded(now time.Time) error {
	wait, _ := q.wait(now)
	return &CrowdedError{
		Queued: len(q.waiting),
		Wait:   wait,
		Pass:   q.pulse.pass(now),
	}
}

// wait returns how long a request that arrives now would wait, or false if that
// is not known.
func (q *queue) wait(now time.Time) (time.Duration, bool) {
	if q.shut || q.rate == 0 || now.Sub(q.began) > 2*rateWindow {
		return 0, false
	}
	return time.Duration(float64(len(q.waiting)) / q.rate * float64(time.Second)), true
}
