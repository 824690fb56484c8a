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
	// rateWindow is the time over which the rate of a queue is taken, and firstWindow
	// that after which it is known. It lives on for rateLife while nobody waits.
	rateWindow  = 2 * time.Second
	firstWindow = 500 * time.Millisecond
	rateLife    = time.Second
)

// waiter is a request that waits for a ticket.
type waiter struct {
	ask     Request
	since   time.Time
	granted chan grant
}

// grant is the end of a wait.
type grant struct {
	ticket *Reservation
	err    error
}

// hopeless reports whether too little time is left to serve a request that is
// sent at a time.
func (w *waiter) hopeless(at time.Time) bool {
	return passed(w.ask.Deadline, at.Add(w.ask.MinServiceTime)) || passed(w.ask.AbandonAt, at.Add(w.ask.TimeToFirstEvent))
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
	// stakes are those of its groups.
	stakes map[GroupName]*stake
	// shut tells that only gates kept a request from being sent.
	shut  bool
	pulse pulse
	// timer serves the queue when it is due; nil if none is set.
	timer *time.Timer
	due   time.Time
	// granted counts the tickets since began, and rate is their number a second in
	// the window before, or zero. They count only while some wait and a gate is open:
	// at other times they tell what came, not what could be served.
	granted int
	began   time.Time
	rate    float64
	// emptied is when the last waiter went.
	emptied time.Time
}

// add puts a waiter into the queue.
func (q *queue) add(w *waiter) {
	if len(q.waiting) == 0 {
		q.resume(w.since)
	}
	q.waiting = append(q.waiting, w)
}

// remove takes a waiter out, if it is there.
func (q *queue) remove(w *waiter) {
	at := slices.Index(q.waiting, w)
	if at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	if len(q.waiting) == 0 {
		q.emptied = time.Now()
	}
}

// order returns those that wait in the order in which they are served: first those
// that can still be on time, then those whose time would soon be too short, then
// those that are late anyway. So a backlog of late requests does not make all that
// follow late too. Among each the urgent go first. Of those that would soon be late
// the newest come next: while more come than can be served, the oldest would each be
// served just too late. Of the others it is those that have waited longest.
func (q *queue) order(now time.Time) []*waiter {
	ordered := slices.Clone(q.waiting)
	slices.SortStableFunc(ordered, func(a, b *waiter) int {
		return cmp.Or(
			cmp.Compare(a.turn(now), b.turn(now)),
			cmp.Compare(a.ask.Urgency, b.ask.Urgency),
			a.after(b, now),
		)
	})
	return ordered
}

// turn is the group of waiters that one is served with; lower ones go first.
type turn uint8

const (
	turnFresh turn = iota
	turnLast
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

// after returns whether a waiter comes after another of the same turn, as a number
// above zero.
func (w *waiter) after(other *waiter, now time.Time) int {
	if !w.ask.SoftDeadline.IsZero() && w.turn(now) == turnFresh {
		return other.since.Compare(w.since)
	}
	return w.since.Compare(other.since)
}

// late reports whether the answer will come late even if it begins now.
func (w *waiter) late(now time.Time) bool {
	return passed(w.ask.SoftDeadline, now)
}

// gate returns the gate of a group.
func (q *queue) gate(group GroupName) *gate {
	return entryOf(&q.gates, group)
}

// stake returns this process's stake in a group.
func (q *queue) stake(group GroupName) *stake {
	return entryOf(&q.stakes, group)
}

// entryOf returns the value of a key, which is a new zero one if there was none.
func entryOf[K comparable, V any](m *map[K]*V, key K) *V {
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

// resume goes on with the rate after nobody has waited, if that was a short while.
func (q *queue) resume(now time.Time) {
	idle := now.Sub(q.emptied)
	if idle > rateLife {
		q.restart(now)
		return
	}
	q.began = q.began.Add(idle)
}

// restart begins to take the rate anew.
func (q *queue) restart(now time.Time) {
	q.began = now
	q.granted = 0
	q.rate = 0
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
	return &OverloadError{
		Queued:   len(q.waiting),
		Wait:     wait,
		PassTime: q.pulse.pass(now),
	}
}

// wait returns how long a request that arrives now would wait, or false if that
// is not known.
func (q *queue) wait(now time.Time) (time.Duration, bool) {
	rate := q.rate
	age := now.Sub(q.began)
	if rate == 0 && age >= firstWindow {
		rate = float64(q.granted) / age.Seconds()
	}
	if q.shut || rate == 0 {
		return 0, false
	}
	return time.Duration(float64(len(q.waiting)) / rate * float64(time.Second)), true
}
