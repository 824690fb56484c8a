package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
)

// Outcome says how the use of a ticket ended.
type Outcome uint8

const (
	// Inconclusive means that nothing was learnt of the upstream.
	Inconclusive Outcome = iota
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
	// GroupBroken means that its group cannot work.
	GroupBroken
	// Stalled means that the rank made no progress while its group did.
	Stalled
)

// Report is what the user of a ticket learnt.
type Report struct {
	Outcome Outcome
	// ResponseTime is the time until the answer; zero if it does not count.
	ResponseTime time.Duration
	// Culprit is the upstream that keeps a broken group from working, as far as told.
	Culprit foxtailstack.UpstreamName
}

// Reservation is the right to send one request to one upstream.
type Reservation struct {
	Upstream route.Upstream
	board    *Scheduler
	service  foxtailstack.ServiceName
	gate     *gate
	probe    bool
}

// Release gives a ticket back. It must be called once.
func (t *Reservation) Release(report Report) {
	b := t.board
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	p := b.peer(t.Upstream.Name)
	p.run(-1, now)
	q := b.queue(t.service)
	switch report.Outcome {
	case Inconclusive:
	case Answered:
		p.strikes = 0
		p.outcome(false, report.ResponseTime)
	case Failed:
		p.outcome(true, 0)
	case Refused:
		p.full = now.Add(fullTime)
	case Unreachable:
		p.strike(now)
	case Moved:
		p.shunned = now.Add(maxShun)
	case Stalled:
		b.setSilent(&t.Upstream, now.Add(silentTime), 0)
	case GroupBroken:
		t.broken(report.Culprit)
		t.gate.breakUntil(now.Add(probePause))
	}
	t.ended(report.Outcome, now)
	b.serve(q)
}

// ResponseStarted tells that an upstream has begun to answer, which a broken group
// does not.
func (t *Reservation) ResponseStarted() {
	b := t.board
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queue(t.service)
	t.ended(Answered, time.Now())
	t.probe = false
	b.serve(q)
}
