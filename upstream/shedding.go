package upstream

import (
	"math"
	"math/rand/v2"
	"time"
)

// Limits on the waiting calls of a Queue.
const (
	// deadlineSlackFactor is the number of mean service times that must remain until the
	// deadline of a call at its expected start, so that its response is in time.
	deadlineSlackFactor = 2
	// standingQueueAge is the age from which a queue is a standing queue. If calls have
	// been waiting without a break for so long, keeping the queue long delays calls but
	// does not raise the throughput.
	standingQueueAge = 10 * time.Second
	// A standing queue refuses a new call whose expected wait exceeds standingWaitFactor
	// mean service times or minStandingWait, whichever is longer.
	standingWaitFactor = 1
	minStandingWait    = 100 * time.Millisecond
	// minCallsPerTeam is the number of waiting calls per team that a standing queue does
	// not limit.
	minCallsPerTeam = 2
	// minRetryBase is the minimum base of the retry time of a shed call; see
	// overloadError.
	minRetryBase = 100 * time.Millisecond
)

// shed refuses the added call if its expected start is too late, and other waiting
// calls whose expected start is now after their deadlines. While the mean service time
// is unknown, it allows as many waiting calls as there are slots.
func (q *Queue) shed(now time.Time, added *Waiter) {
	if q.DisableShedding || q.queued == 0 {
		return
	}
	service := q.MeanServiceTime()
	n := 0
	for _, w := range q.waitingInOrder() {
		wait := q.waitAt(n)
		late := wait - w.deadline.Sub(now)
		if w == added {
			late = max(late+deadlineSlackFactor*service, wait-q.maxExpectedWait(now, w))
		}
		if late <= 0 && (service > 0 || n < q.slots) {
			n++
			continue
		}
		q.Remove(w)
		w.OnDecision(q.overloadError(late))
	}
}

// maxExpectedWait returns the maximum expected wait at which call w is admitted,
// whatever its deadline. A standing queue is kept short, as in K. Nichols, V. Jacobson,
// "Controlling Queue Delay", ACM Queue 10(5), 2012, but each team may have
// minCallsPerTeam calls in it.
func (q *Queue) maxExpectedWait(now time.Time, w *Waiter) time.Duration {
	if now.Sub(q.lastEmpty) < standingQueueAge || len(q.teamQueue(w.request.Team).waiting) <= minCallsPerTeam {
		return math.MaxInt64
	}
	return max(minStandingWait, time.Duration(standingWaitFactor*float64(q.MeanServiceTime())))
}

// overloadError returns the error of a call that would start too late by the given time,
// or of one that finds the queue full, with its expected wait as late. The base of the
// retry time is the longest of late, the expected wait, the mean service time and
// minRetryBase. The retry time is drawn between 0.5 and 1.5 times the base, so that shed
// calls do not return all at once.
func (q *Queue) overloadError(late time.Duration) *AdmissionError {
	draw := rand.Float64
	if q.Rand != nil {
		draw = q.Rand.Float64
	}
	base := max(late, q.ExpectedWait(), q.MeanServiceTime(), minRetryBase)
	return &AdmissionError{
		Err:        ErrFull,
		RetryAfter: base/2 + time.Duration(draw()*float64(base)),
	}
}
