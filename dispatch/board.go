package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
)

// Errors of Acquire.
var (
	// ErrNoUpstream means that no upstream of the service takes requests.
	ErrNoUpstream = errors.New("service has no ready upstream")
	// ErrCrowded means that so many wait that the request would not be served in
	// the time it has.
	ErrCrowded = errors.New("too many requests wait")
	// ErrGaveUp means that the request's time ended before an upstream was free.
	ErrGaveUp = errors.New("no upstream was free in time")
)

// CrowdedError is an ErrCrowded with what decided it.
type CrowdedError struct {
	// Queued is the number of requests that wait, Wait how long a further one
	// would, as far as known.
	Queued int
	Wait   time.Duration
	// Pass is the time of a pass of the group; zero if it is not known.
	Pass time.Duration
}

// Error returns the text of the error.
func (e *CrowdedError) Error() string {
	return fmt.Sprintf("%v: %d wait for %s, a pass takes %s", ErrCrowded, e.Queued, e.Wait, e.Pass)
}

// Unwrap returns ErrCrowded.
func (e *CrowdedError) Unwrap() error {
	return ErrCrowded
}

// Ask is a request that wants an upstream.
type Ask struct {
	Service foxtailstack.ServiceName
	// Grouped tells that the upstreams are ranks that work in lock-step.
	Grouped bool
	// Urgency orders those that wait; zero is first.
	Urgency int
	// Fresh is until when the request has to be sent to be on time, Ends when its
	// time is over. Zero times mean never.
	Fresh time.Time
	Ends  time.Time
	// Needs is the least time in which it can be served.
	Needs time.Duration
	// Begins is when the caller leaves if the answer has not begun, First is the
	// time until it begins after the sending. A zero time means never.
	Begins time.Time
	First  time.Duration
	// Avoid holds the upstreams that the request must not go to again.
	Avoid map[foxtailstack.UpstreamName]bool
	// Only, if it is not empty, holds the upstreams that it may go to.
	Only map[foxtailstack.UpstreamName]bool
}

// allows reports whether the request may go to an upstream.
func (a *Ask) allows(name foxtailstack.UpstreamName) bool {
	return !a.Avoid[name] && (len(a.Only) == 0 || a.Only[name])
}

// Outcome says how the use of a ticket ended.
type Outcome uint8

const (
	// Abandoned means that nothing was learnt of the upstream.
	Abandoned Outcome = iota
	// Answered means that the upstream answered in full.
	Answered
	// Failed means that it answered wrongly or broke off.
	Failed
	// Refused means that it did not run the request.
	Refused
	// Unreachable means that there was no connection to it.
	Unreachable
	// Moved means that its address belongs to another upstream now.
	Moved
	// Broken means that its group cannot work.
	Broken
)

// Report is what the user of a ticket learnt.
type Report struct {
	Outcome Outcome
	// Took is the time until the answer; zero if it does not count.
	Took time.Duration
}

// Ticket is the right to send one request to one upstream.
type Ticket struct {
	Upstream route.Upstream
	board    *Board
	service  foxtailstack.ServiceName
	gate     *gate
	probe    bool
}

// Board hands out tickets. It must not be copied after first use.
type Board struct {
	// Fleet returns the present list of upstreams.
	Fleet func() *route.Fleet

	mu       sync.Mutex
	peers    map[foxtailstack.UpstreamName]*peer
	services map[foxtailstack.ServiceName]*queue
}

// Acquire returns a ticket, after waiting for one if need be. It returns
// ErrCrowded as soon as it is known that the request cannot be served in time.
func (b *Board) Acquire(ctx context.Context, ask Ask) (*Ticket, error) {
	w := &waiter{
		ask:     ask,
		since:   time.Now(),
		granted: make(chan grant, 1),
	}
	err := b.enqueue(w)
	if err != nil {
		return nil, err
	}
	select {
	case g := <-w.granted:
		return g.ticket, g.err
	case <-ctx.Done():
	}
	b.mu.Lock()
	b.queue(ask.Service).remove(w)
	b.mu.Unlock()
	select {
	case g := <-w.granted:
		if g.ticket != nil {
			g.ticket.Done(Report{})
		}
	default:
	}
	return nil, ErrGaveUp
}

// enqueue adds a waiter to its queue and serves that.
func (b *Board) enqueue(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.Fleet().Ready(w.ask.Service)) == 0 {
		return ErrNoUpstream
	}
	q := b.queue(w.ask.Service)
	wait, known := q.wait(w.since)
	if known && len(q.waiting) > 0 && w.hopeless(w.since.Add(wait)) {
		return q.crowded(w.since)
	}
	q.add(w)
	b.serve(q)
	return nil
}

// Tell records what an upstream said of its load.
func (b *Board) Tell(name foxtailstack.UpstreamName, load *exchange.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peer(name).tell(load, time.Now())
}

// RankLoad is what is known of one rank of a group.
type RankLoad struct {
	Load exchange.Load
	// Pace is over one if the rank is slow.
	Pace float64
}

// TellGroup records the load of the ranks of a group behind a service, by address,
// as it was some time ago.
func (b *Board) TellGroup(
	service foxtailstack.ServiceName,
	group GroupName,
	ranks map[foxtailstack.Address]RankLoad,
	age time.Duration,
) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	at := now.Add(-age)
	ready := b.Fleet().Ready(service)
	silent := b.silentRanks(ready, group, ranks)
	few := len(silent) <= len(ready)/maxSilentPart
	for _, u := range ready {
		p := b.peer(u.Name)
		rank, ok := ranks[u.Address]
		if !ok {
			if few && silent[u.Name] {
				p.silent = now.Add(silentTime)
			}
			continue
		}
		p.group = group
		p.silent = time.Time{}
		p.pace = rank.Pace
		p.tell(&rank.Load, at)
	}
}

// silentRanks returns the upstreams of a group that have not said anything. If no
// other group is known, those whose group is not known are taken for its ranks. The
// caller holds mu.
func (b *Board) silentRanks(
	ready []route.Upstream,
	group GroupName,
	ranks map[foxtailstack.Address]RankLoad,
) map[foxtailstack.UpstreamName]bool {
	silent := make(map[foxtailstack.UpstreamName]bool)
	alone := true
	for _, u := range ready {
		known := b.peer(u.Name).group
		alone = alone && (known == "" || known == group)
	}
	for _, u := range ready {
		_, ok := ranks[u.Address]
		known := b.peer(u.Name).group
		if !ok && (known == group || known == "" && alone) {
			silent[u.Name] = true
		}
	}
	return silent
}

// Paused records the pause between the last two events of a stream of a group.
func (b *Board) Paused(service foxtailstack.ServiceName, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue(service).pulse.add(time.Now(), pause)
}

// Pass returns the time of a pass of the group behind a service, or zero if that
// is not known.
func (b *Board) Pass(service foxtailstack.ServiceName) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue(service).pulse.pass(time.Now())
}

// Changed tells that the fleet has changed.
func (b *Board) Changed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	fleet := b.Fleet()
	for name, p := range b.peers {
		_, ok := fleet.Lookup(name)
		if !ok && p.running == 0 {
			delete(b.peers, name)
		}
	}
	for _, q := range b.services {
		b.serve(q)
	}
}

// Done gives a ticket back. It must be called once.
func (t *Ticket) Done(report Report) {
	b := t.board
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	p := b.peer(t.Upstream.Name)
	p.run(-1, now)
	q := b.queue(t.service)
	switch report.Outcome {
	case Abandoned:
	case Answered:
		p.strikes = 0
		p.outcome(false, report.Took)
	case Failed:
		p.outcome(true, 0)
	case Refused:
		p.full = now.Add(fullTime)
	case Unreachable:
		p.strike(now)
	case Moved:
		p.shunned = now.Add(maxShun)
	case Broken:
		t.gate.breakUntil(now.Add(probePause))
	}
	t.gate.ended(t.probe, report.Outcome, now)
	b.serve(q)
}

// Opened tells that an upstream has begun to answer, which a broken group
// does not.
func (t *Ticket) Opened() {
	b := t.board
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queue(t.service)
	t.gate.ended(t.probe, Answered, time.Now())
	t.probe = false
	b.serve(q)
}

// serve grants tickets to those that wait, in order. One that no upstream suits
// does not hold up those behind it. The caller holds mu.
func (b *Board) serve(q *queue) {
	if len(q.waiting) == 0 {
		return
	}
	now := time.Now()
	for _, w := range q.order(now) {
		if w.hopeless(now) {
			q.remove(w)
			w.granted <- grant{err: q.crowded(now)}
			continue
		}
		t, wait := b.pick(&w.ask, now)
		q.shut = wait > 0
		if t == nil {
			b.later(q, max(wait, retryPause))
			continue
		}
		q.remove(w)
		q.count(now)
		w.granted <- grant{ticket: t}
	}
}

// later serves a queue again after a time, unless that is to happen earlier. The
// caller holds mu.
func (b *Board) later(q *queue, wait time.Duration) {
	due := time.Now().Add(wait)
	if q.timer != nil {
		if !due.Before(q.due) {
			return
		}
		q.timer.Stop()
	}
	q.due = due
	q.timer = time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		q.timer = nil
		b.serve(q)
	})
}

// maxDraws is the number of ranks of which the cheapest is taken.
const maxDraws = 2

// pick returns a ticket for the cheapest upstream that the request may go to. If
// there is none it returns nil, and how long gates keep the request from some. Those that are avoided come last. Ranks whose slots
// are all taken get nothing, since what waits there makes all late that comes
// after it, and those that do not answer the planner get nothing either.
//
// Of the ranks of a group only a few are drawn by chance: all entries are told the
// same loads at the same time, and would all send to the ranks with the least. The
// caller holds mu.
func (b *Board) pick(ask *Ask, now time.Time) (*Ticket, time.Duration) {
	q := b.queue(ask.Service)
	shut := time.Duration(0)
	var best *route.Upstream
	var bestPeer *peer
	bestAvoided := true
	bestCost := 0.0
	ready := b.Fleet().Ready(ask.Service)
	draws := 0
	for _, i := range rand.Perm(len(ready)) {
		u := &ready[i]
		if !ask.allows(u.Name) {
			continue
		}
		p := b.peer(u.Name)
		p.slots = u.Slots
		if ask.Grouped && (p.busy(now) || now.Before(p.silent)) {
			continue
		}
		_, wait := q.gate(p.group).check(now)
		if wait > 0 {
			shut = wait
			continue
		}
		avoided := p.avoided(now)
		if ask.Grouped && !avoided {
			draws++
		}
		if draws > maxDraws {
			break
		}
		cost := p.cost(now, ask.Grouped)
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && cost < bestCost {
			best, bestPeer, bestAvoided, bestCost = u, p, avoided, cost
		}
	}
	if best == nil {
		return nil, shut
	}
	bestPeer.run(1, now)
	t := &Ticket{
		Upstream: *best,
		board:    b,
		service:  ask.Service,
		gate:     q.gate(bestPeer.group),
	}
	t.probe, _ = t.gate.check(now)
	if t.probe {
		t.gate.probed = now
	}
	return t, 0
}

// peer returns what is known of an upstream. The caller holds mu.
func (b *Board) peer(name foxtailstack.UpstreamName) *peer {
	if b.peers == nil {
		b.peers = make(map[foxtailstack.UpstreamName]*peer)
	}
	p, ok := b.peers[name]
	if !ok {
		p = &peer{}
		b.peers[name] = p
	}
	return p
}

// queue returns the queue of a service. The caller holds mu.
func (b *Board) queue(service foxtailstack.ServiceName) *queue {
	if b.services == nil {
		b.services = make(map[foxtailstack.ServiceName]*queue)
	}
	q, ok := b.services[service]
	if !ok {
		q = &queue{}
		b.services[service] = q
	}
	return q
}
