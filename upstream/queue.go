package upstream

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// maxQueue is the maximum number of waiting calls.
	maxQueue = 4096
	// serviceTimeDecay is the factor by which each call that ends multiplies the weights
	// of the former ones in the mean service time.
	serviceTimeDecay = 0.98
)

// Waiter is a waiting call in a Queue.
type Waiter struct {
	// OnDecision is called once: with nil when the call starts, or with an
	// *AdmissionError when it is refused.
	OnDecision func(error)

	request  AdmissionRequest
	deadline time.Time
	// sequence numbers the calls in the order of arrival.
	sequence uint64
	// startTag is valid only within waitingInOrder, which sets it.
	startTag float64
}

// teamQueue holds the waiting calls of one team.
type teamQueue struct {
	// nextTag is the finish tag of the team's last started call in virtual time, which is
	// the lower bound of the start tag of its next call.
	nextTag float64
	// waiting is sorted in the order of service: by priority, then by arrival.
	waiting []*Waiter
}

// Queue decides which waiting calls start, in which order, and which are refused. It
// does not block and does not read a clock: the caller passes the present time. The
// zero value has no slots. A Queue is not safe for concurrent use.
//
// The order among teams is that of start-time fair queueing: P. Goyal, H. Vin,
// H. Cheng, "Start-time Fair Queueing", IEEE/ACM Transactions on Networking 5(5),
// 1997.
type Queue struct {
	// Weight returns the weight of a team; nil or a result that is not positive means 1.
	Weight func(foxtailstack.TeamName) float64
	// Rand is the source of the jitter in retry times; nil means the global source.
	Rand *rand.Rand
	// DisableShedding keeps calls in the queue that are not expected to start in time.
	DisableShedding bool

	slots        int
	running      int
	queued       int
	nextSequence uint64
	// virtualTime is the start tag of the last started call, in relative cost per weight.
	virtualTime float64
	teams       map[foxtailstack.TeamName]*teamQueue
	// slotSeconds is the slot time used by calls in seconds, and endedCalls the number of
	// calls that ended. Both decay with each end; their ratio is the mean service time.
	// pendingSlotSeconds is the slot time used between the last end of a call and
	// lastUpdate.
	slotSeconds        float64
	endedCalls         float64
	pendingSlotSeconds float64
	lastUpdate         time.Time
	// lastEmpty is the last time at which no call was waiting.
	lastEmpty time.Time
}

// Resize changes the number of slots at time now.
func (q *Queue) Resize(now time.Time, slots int) {
	q.advance(now)
	q.slots = slots
	q.startCalls(now)
}

// Add adds a call to the queue at time now, and starts or refuses it if that can be
// decided already. It also refuses other waiting calls that would now start too late.
func (q *Queue) Add(now time.Time, r AdmissionRequest, w *Waiter) {
	q.advance(now)
	w.request = r
	w.deadline = now.Add(r.Timeout)
	w.sequence = q.nextSequence
	q.nextSequence++
	if r.Timeout <= 0 {
		w.OnDecision(&AdmissionError{Err: ErrExpired})
		return
	}
	if q.queued >= maxQueue {
		w.OnDecision(q.overloadError(q.ExpectedWait()))
		return
	}
	t := q.teamQueue(r.Team)
	at, _ := slices.BinarySearchFunc(t.waiting, w, compareInTeam)
	t.waiting = slices.Insert(t.waiting, at, w)
	q.queued++
	q.startCalls(now)
	q.shed(now, w)
}

// Remove removes a waiting call from the queue. It reports whether the call was waiting.
// Other calls are not affected: none starts, and no tag changes.
func (q *Queue) Remove(w *Waiter) bool {
	t, ok := q.teams[w.request.Team]
	if !ok {
		return false
	}
	at := slices.Index(t.waiting, w)
	if at < 0 {
		return false
	}
	t.waiting = slices.Delete(t.waiting, at, at+1)
	q.queued--
	return true
}

// Finish releases the slot of a call that ended at time now.
func (q *Queue) Finish(now time.Time) {
	q.advance(now)
	q.slotSeconds = serviceTimeDecay*q.slotSeconds + q.pendingSlotSeconds
	q.endedCalls = serviceTimeDecay*q.endedCalls + 1
	q.pendingSlotSeconds = 0
	q.running--
	q.startCalls(now)
}

// ReleaseUnused releases at time now the slot of a call that never used it. The call is
// not counted as an ended call of the mean service time.
func (q *Queue) ReleaseUnused(now time.Time) {
	q.advance(now)
	q.running--
	q.startCalls(now)
}

// RefuseAll refuses all waiting calls with err.
func (q *Queue) RefuseAll(err error) {
	for _, w := range q.waitingInOrder() {
		q.Remove(w)
		w.OnDecision(&AdmissionError{Err: err})
	}
}

// MeanServiceTime returns the exponentially weighted mean of the times that calls held
// a slot; zero if no call has ended yet.
func (q *Queue) MeanServiceTime() time.Duration {
	if q.endedCalls == 0 {
		return 0
	}
	return time.Duration(q.slotSeconds / q.endedCalls * float64(time.Second))
}

// ExpectedWait returns the expected queueing time of a call that arrives now.
func (q *Queue) ExpectedWait() time.Duration {
	if q.running < q.slots {
		return 0
	}
	return q.waitAt(q.queued)
}

// Load returns the present load.
func (q *Queue) Load() Load {
	return Load{
		Running:         q.running,
		Queued:          q.queued,
		Slots:           q.slots,
		ExpectedWait:    q.ExpectedWait(),
		MeanServiceTime: q.MeanServiceTime(),
	}
}

// waitAt returns the expected queueing time of a call with n others before it.
func (q *Queue) waitAt(n int) time.Duration {
	return q.MeanServiceTime() * time.Duration(n+1) / time.Duration(max(q.slots, 1))
}

// advance adds the slot time used since the last update and moves lastUpdate to now.
func (q *Queue) advance(now time.Time) {
	if !q.lastUpdate.IsZero() {
		q.pendingSlotSeconds += float64(q.running) * now.Sub(q.lastUpdate).Seconds()
	}
	q.lastUpdate = now
	if q.queued == 0 {
		q.lastEmpty = now
	}
}

// teamQueue returns the queue of a team, which it creates if necessary.
func (q *Queue) teamQueue(team foxtailstack.TeamName) *teamQueue {
	t, ok := q.teams[team]
	if ok {
		return t
	}
	if q.teams == nil {
		q.teams = map[foxtailstack.TeamName]*teamQueue{}
	}
	t = &teamQueue{}
	q.teams[team] = t
	return t
}

// weight returns the weight of a team with its default.
func (q *Queue) weight(team foxtailstack.TeamName) float64 {
	if q.Weight == nil {
		return 1
	}
	if weight := q.Weight(team); weight > 0 {
		return weight
	}
	return 1
}

// startCalls starts waiting calls while slots are free. It refuses calls whose deadline
// has passed.
func (q *Queue) startCalls(now time.Time) {
	for q.running < q.slots && q.queued > 0 {
		team, t := q.nextTeam()
		w := t.waiting[0]
		t.waiting = slices.Delete(t.waiting, 0, 1)
		q.queued--
		if !now.Before(w.deadline) {
			w.OnDecision(&AdmissionError{Err: ErrExpired})
			continue
		}
		q.virtualTime = max(q.virtualTime, t.nextTag)
		t.nextTag = q.virtualTime + w.request.cost()/q.weight(team)
		q.running++
		w.OnDecision(nil)
	}
	if q.queued == 0 {
		q.dropIdle()
	}
}

// nextTeam returns the team whose call starts next, and its queue.
func (q *Queue) nextTeam() (foxtailstack.TeamName, *teamQueue) {
	var best *teamQueue
	var name foxtailstack.TeamName
	for team, t := range q.teams {
		if len(t.waiting) == 0 {
			continue
		}
		if best == nil || startsBefore(q.startTag(t), t.waiting[0], q.startTag(best), best.waiting[0]) {
			best, name = t, team
		}
	}
	return name, best
}

// startTag returns the start tag of the first waiting call of a team.
func (q *Queue) startTag(t *teamQueue) float64 {
	return max(q.virtualTime, t.nextTag)
}

// dropIdle deletes the queues of teams whose state no longer affects the order.
func (q *Queue) dropIdle() {
	for team, t := range q.teams {
		if t.nextTag <= q.virtualTime && len(t.waiting) == 0 {
			delete(q.teams, team)
		}
	}
}

// waitingInOrder returns the waiting calls in the order in which they would start.
func (q *Queue) waitingInOrder() []*Waiter {
	all := make([]*Waiter, 0, q.queued)
	for team, t := range q.teams {
		tag := q.startTag(t)
		for _, w := range t.waiting {
			w.startTag = tag
			tag += w.request.cost() / q.weight(team)
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(x, y *Waiter) int {
		return cmp.Or(cmp.Compare(x.startTag, y.startTag), cmp.Compare(x.sequence, y.sequence))
	})
	return all
}

// compareInTeam compares two calls of one team by their order of service.
func compareInTeam(x, y *Waiter) int {
	return cmp.Or(cmp.Compare(y.request.Priority, x.request.Priority), cmp.Compare(x.sequence, y.sequence))
}

// startsBefore reports whether call x starts before call y of another team, given the
// start tags of both.
func startsBefore(xTag float64, x *Waiter, yTag float64, y *Waiter) bool {
	if xTag != yTag {
		return xTag < yTag
	}
	return x.sequence < y.sequence
}
