package upstream

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds of a Queue.
const (
	// reserveTimes is the number of mean service times that a call must be
	// expected to have left when it starts, so that its answer is in time.
	reserveTimes = 2
	// patience is the time after which a queue that has not been empty counts as
	// standing: it delays all calls and serves none of them sooner.
	patience = 10 * time.Second
	// standingTimes is the number of mean service times that new calls wait in a
	// standing queue at most, and minStanding is the least such wait.
	standingTimes = 1
	minStanding   = 100 * time.Millisecond
	// ownCalls is the number of calls that each team may have in it in any case.
	ownCalls = 2
	// minRetry is the shortest time after which a refused call may come back.
	minRetry = 100 * time.Millisecond
)

// shed refuses the newcomer if it is not expected to start early enough, and
// others that now cannot start before their deadlines. Without a service time
// yet, as many calls wait as there are slots.
func (q *Queue) shed(now time.Time, newcomer *Waiter) {
	if q.DisableShedding || q.queued == 0 {
		return
	}
	service := q.MeanServiceTime()
	n := 0
	for _, w := range q.inOrder() {
		wait := q.waitAt(n)
		late := wait - w.deadline.Sub(now)
		if w == newcomer {
			late = max(late+reserveTimes*service, wait-q.standing(now, w))
		}
		if late <= 0 && (service > 0 || n < q.slots) {
			n++
			continue
		}
		q.Remove(w)
		w.OnDecision(q.full(late))
	}
}

// standing returns the longest wait that a new call may expect, whatever its
// deadline. A queue that has not been empty for long is kept short, as in
// K. Nichols, V. Jacobson, "Controlling Queue Delay", ACM Queue 10(5), 2012; but
// each team may have a few calls in it.
func (q *Queue) standing(now time.Time, w *Waiter) time.Duration {
	if now.Sub(q.empty) < patience || len(q.account(w.ticket.Team).waiting) <= ownCalls {
		return math.MaxInt64
	}
	return max(minStanding, time.Duration(standingTimes*float64(q.MeanServiceTime())))
}

// full returns the error of a call that would come late by a time. The returns
// of refused calls are spread over the time in which the queue empties.
func (q *Queue) full(late time.Duration) *AdmissionError {
	draw := rand.Float64
	if q.Rand != nil {
		draw = q.Rand.Float64
	}
	base := max(late, q.ExpectedWait(), q.MeanServiceTime(), minRetry)
	return &AdmissionError{
		Err:        ErrFull,
		RetryAfter: base/2 + time.Duration(draw()*float64(base)),
	}
}
