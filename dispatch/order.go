package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// lastChanceTime is how much longer a late request could wait and still be served if it is
// not to come before other late ones.
const lastChanceTime = 300 * time.Millisecond

// order returns the waiters in the order in which they are served. Those that have begun come
// first: there are as few of them as of retries. Urgent requests come before less urgent
// ones, also if they are late: a burst of less urgent ones must not delay them. Within an urgency, requests that can still be on time come first, then late
// ones that would soon be impossible to serve, then other late ones. Late requests come
// last so that a backlog of them does not make all that follow late too. Of those that
// can be on time the newest come next: in an overload the oldest would each be served
// just too late. Of the late ones, and of those that have no soft deadline, the oldest
// come next.
func (q *queue) order(now time.Time) []*waiter {
	ordered := slices.Clone(q.waiters)
	slices.SortStableFunc(ordered, func(a, b *waiter) int {
		return cmp.Or(
			compareBegun(a, b),
			cmp.Compare(a.request.Urgency, b.request.Urgency),
			cmp.Compare(a.class(now), b.class(now)),
			a.compareAge(b, now),
		)
	})
	return ordered
}

// compareBegun orders a waiter that has begun before one that has not.
func compareBegun(a, b *waiter) int {
	switch {
	case a.request.Begun == b.request.Begun:
		return 0
	case a.request.Begun:
		return -1
	}
	return 1
}

// servingClass is the criterion of the serving order within an urgency; lower classes are
// served first.
type servingClass uint8

const (
	// classOnTime holds the requests that can still be answered on time.
	classOnTime servingClass = iota
	// classLastChance holds the late requests that could no longer be served if they
	// waited for another lastChanceTime.
	classLastChance
	// classLate holds the other late requests.
	classLate
)

// class returns the class that a waiter is served in.
func (w *waiter) class(now time.Time) servingClass {
	switch {
	case !w.late(now):
		return classOnTime
	case w.unservable(now.Add(lastChanceTime)):
		return classLastChance
	default:
		return classLate
	}
}

// compareAge orders a waiter against another of the same class and urgency. The
// result is positive if w is served after other, negative if before.
func (w *waiter) compareAge(other *waiter, now time.Time) int {
	if !w.request.SoftDeadline.IsZero() && w.class(now) == classOnTime {
		return other.enqueuedAt.Compare(w.enqueuedAt)
	}
	return w.enqueuedAt.Compare(other.enqueuedAt)
}

// late reports whether the response will come late even if the request is sent now. One that
// has begun never counts as late.
func (w *waiter) late(now time.Time) bool {
	return !w.request.Begun && expired(w.request.SoftDeadline, now)
}

// ahead returns the number of waiters that are served before a request of an urgency that
// arrives now and has not begun, if those of its own urgency are served in the order of their
// arrival.
func (q *queue) ahead(urgency int) int {
	n := 0
	for _, w := range q.waiters {
		if w.request.Begun || w.request.Urgency <= urgency {
			n++
		}
	}
	return n
}
