package upstream

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// maxQueue is the number of calls that wait at most.
	maxQueue = 4096
	// memory is the weight that the service times of former calls keep when
	// one more ends.
	memory = 0.98
)

// Waiter is a call in a Queue.
type Waiter struct {
	// OnDecision is called once, when the call starts, with nil, or when it is
	// refused, with a *GateError.
	OnDecision func(error)

	ticket   AdmissionRequest
	deadline time.Time
	order    uint64
	tag      float64
}

// account is what a Queue keeps of one team.
type account struct {
	// next is the start tag of the team's next call.
	next float64
	// waiting is in the order of service: by priority and then by arrival.
	waiting []*Waiter
}

// Queue decides which calls start, in which order, and which are refused. It
// neither waits nor reads a clock: the caller passes the present time. The zero
// value has no slots. A Queue is not safe for concurrent use.
//
// The order among teams is that of start-time fair queueing: P. Goyal, H. Vin,
// H. Cheng, "Start-time Fair Queueing", IEEE/ACM Transactions on Networking 5(5),
// 1997.
type Queue struct {
	// Weight returns the share of a team; nil or a result of zero means 1.
	Weight func(foxtailstack.TeamName) float64
	// Rand spreads the returns of refused calls; nil means the global source.
	Rand *rand.Rand
	// DisableShedding lets calls wait that cannot start before their deadline.
	DisableShedding bool

	slots    int
	running  int
	queued   int
	order    uint64
	virtual  float64
	accounts map[foxtailstack.TeamName]*account
	// busy and ended are the slot time used by calls and the number of calls
	// that ended, both decaying with each end; their ratio is the mean service time.
	busy    float64
	ended   float64
	pending float64
	last    time.Time
	// empty is when no call waited last.
	empty time.Time
}

// Resize changes the number of slots at now.
func (q *Queue) Resize(now time.Time, slots int) {
	q.advance(now)
	q.slots = slots
	q.start(now)
}

// Add puts a call into the queue at now and starts or refuses it if that is
// clear at once. It may also refuse others that now come too late.
func (q *Queue) Add(now time.Time, t AdmissionRequest, w *Waiter) {
	q.advance(now)
	w.ticket = t
	w.deadline = now.Add(t.Timeout)
	w.order = q.order
	q.order++
	if t.Timeout <= 0 {
		w.OnDecision(&AdmissionError{Err: ErrExpired})
		return
	}
	if q.queued >= maxQueue {
		w.OnDecision(q.full(q.ExpectedWait()))
		return
	}
	a := q.account(t.Team)
	at, _ := slices.BinarySearchFunc(a.waiting, w, compareInTeam)
	a.waiting = slices.Insert(a.waiting, at, w)
	q.queued++
	q.start(now)
	q.shed(now, w)
}

// Remove takes a call that waits out of the queue; others are not affected. It
// reports whether the call was waiting.
func (q *Queue) Remove(w *Waiter) bool {
	a, ok := q.accounts[w.ticket.Team]
	if !ok {
		return false
	}
	at := slices.Index(a.waiting, w)
	if at < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, at, at+1)
	q.queued--
	return true
}

// Finish gives the slot of a call back at now.
func (q *Queue) Finish(now time.Time) {
	q.advance(now)
	q.busy = memory*q.busy + q.pending
	q.ended = memory*q.ended + 1
	q.pending = 0
	q.running--
	q.start(now)
}

// ReleaseUnused gives the slot of a call back that did not use it.
func (q *Queue) ReleaseUnused(now time.Time) {
	q.advance(now)
	q.running--
	q.start(now)
}

// RefuseAll refuses all calls that wait, with err.
func (q *Queue) RefuseAll(err error) {
	for _, w := range q.inOrder() {
		q.Remove(w)
		w.OnDecision(&AdmissionError{Err: err})
	}
}

// MeanServiceTime returns the smoothed time that a call holds a slot; zero while no
// call has ended.
func (q *Queue) MeanServiceTime() time.Duration {
	if q.ended == 0 {
		return 0
	}
	return time.Duration(q.busy / q.ended * float64(time.Second))
}

// ExpectedWait returns the expected wait of a call that comes now.
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

// waitAt returns the expected wait of a call with n others before it.
func (q *Queue) waitAt(n int) time.Duration {
	return q.MeanServiceTime() * time.Duration(n+1) / time.Duration(max(q.slots, 1))
}

// advance accounts for the slot time used until now.
func (q *Queue) advance(now time.Time) {
	if !q.last.IsZero() {
		q.pending += float64(q.running) * now.Sub(q.last).Seconds()
	}
	q.last = now
	if q.queued == 0 {
		q.empty = now
	}
}

// account returns the account of a team.
func (q *Queue) account(team foxtailstack.TeamName) *account {
	a, ok := q.accounts[team]
	if ok {
		return a
	}
	if q.accounts == nil {
		q.accounts = map[foxtailstack.TeamName]*account{}
	}
	a = &account{}
	q.accounts[team] = a
	return a
}

// weight returns the share of a team.
func (q *Queue) weight(team foxtailstack.TeamName) float64 {
	if q.Weight == nil {
		return 1
	}
	if weight := q.Weight(team); weight > 0 {
		return weight
	}
	return 1
}

// start starts calls while there are slots.
func (q *Queue) start(now time.Time) {
	for q.running < q.slots && q.queued > 0 {
		team, a := q.first()
		w := a.waiting[0]
		a.waiting = slices.Delete(a.waiting, 0, 1)
		q.queued--
		if !now.Before(w.deadline) {
			w.OnDecision(&AdmissionError{Err: ErrExpired})
			continue
		}
		q.virtual = max(q.virtual, a.next)
		a.next = q.virtual + w.ticket.work()/q.weight(team)
		q.running++
		w.OnDecision(nil)
	}
	if q.queued == 0 {
		q.forget()
	}
}

// first returns the team whose call starts next, and its account.
func (q *Queue) first() (foxtailstack.TeamName, *account) {
	var best *account
	var name foxtailstack.TeamName
	for team, a := range q.accounts {
		if len(a.waiting) == 0 {
			continue
		}
		if best == nil || before(q.tag(a), a.waiting[0], q.tag(best), best.waiting[0]) {
			best, name = a, team
		}
	}
	return name, best
}

// tag returns the start tag of the first call of an account.
func (q *Queue) tag(a *account) float64 {
	return max(q.virtual, a.next)
}

// forget drops the accounts of teams that are owed nothing.
func (q *Queue) forget() {
	for team, a := range q.accounts {
		if a.next <= q.virtual && len(a.waiting) == 0 {
			delete(q.accounts, team)
		}
	}
}

// inOrder returns the calls that wait in the order in which they would start.
func (q *Queue) inOrder() []*Waiter {
	all := make([]*Waiter, 0, q.queued)
	for team, a := range q.accounts {
		tag := q.tag(a)
		for _, w := range a.waiting {
			w.tag = tag
			tag += w.ticket.work() / q.weight(team)
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(x, y *Waiter) int {
		return cmp.Or(cmp.Compare(x.tag, y.tag), cmp.Compare(x.order, y.order))
	})
	return all
}

// compareInTeam orders the calls of one team.
func compareInTeam(x, y *Waiter) int {
	return cmp.Or(cmp.Compare(y.ticket.Priority, x.ticket.Priority), cmp.Compare(x.order, y.order))
}

// before reports whether call x with a start tag comes before call y.
func before(xTag float64, x *Waiter, yTag float64, y *Waiter) bool {
	if xTag != yTag {
		return xTag < yTag
	}
	return x.order < y.order
}
