package booking

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// maxAttempts is the highest number of attempts in a Ledger.
const maxAttempts = 1024

// Ledger lets each attempt start at most once in one incarnation of a sidecar.
// It holds an attempt from its reservation until its outcome is in the table or
// it is known never to start; an attempt that it does not hold cannot start.
// The zero value is ready for use.
type Ledger struct {
	mu       sync.Mutex
	attempts map[foxtailstack.AttemptID]*entry
}

// Reserve admits an attempt, which must start within d by the clock of this
// process. It returns ErrFull if the ledger holds too many attempts.
func (l *Ledger) Reserve(attempt foxtailstack.AttemptID, d time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = map[foxtailstack.AttemptID]*entry{}
	}
	if l.attempts[attempt] != nil {
		return ErrBarred
	}
	if len(l.attempts) >= maxAttempts {
		return ErrFull
	}
	l.attempts[attempt] = &entry{
		stage:   reserved,
		expires: time.Now().Add(d),
		known:   make(chan struct{}),
	}
	return nil
}

// Start marks an attempt as started. It returns ErrBarred if the attempt has
// started before, was barred or dropped, or its reservation has lapsed.
func (l *Ledger) Start(attempt foxtailstack.AttemptID) error {
	return l.fire(attempt, triggerStart)
}

// Finish marks that a started attempt has an answer, which is not recorded yet.
func (l *Ledger) Finish(attempt foxtailstack.AttemptID) error {
	return l.fire(attempt, triggerFinish)
}

// Fail marks that an attempt broke off after it started, so that it is not
// known whether it ran.
func (l *Ledger) Fail(attempt foxtailstack.AttemptID) error {
	return l.fire(attempt, triggerFail)
}

// Refuse marks that the engine has seen nothing of a started attempt.
func (l *Ledger) Refuse(attempt foxtailstack.AttemptID) error {
	return l.fire(attempt, triggerRefuse)
}

// Record forgets an attempt whose outcome is in the table.
func (l *Ledger) Record(attempt foxtailstack.AttemptID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.attempts[attempt]
	if e == nil {
		return ErrBarred
	}
	err := e.fire(triggerRecord)
	if err == nil {
		delete(l.attempts, attempt)
	}
	return err
}

// Drop forgets an attempt that has not run and keeps it from starting. It has
// no effect on an attempt that may have reached the engine.
func (l *Ledger) Drop(attempt foxtailstack.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.attempts[attempt]
	if e != nil && e.fire(triggerBar) == nil {
		delete(l.attempts, attempt)
	}
}

// Len returns the number of attempts that the ledger holds.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.attempts)
}

// Ask returns the outcome of an attempt. It waits while the attempt may start,
// runs or its answer is not recorded, and bars it once its reservation has
// lapsed; if ctx ends before that, the Finding says Running.
func (l *Ledger) Ask(ctx context.Context, attempt foxtailstack.AttemptID) Finding {
	e, left := l.look(attempt)
	if e == nil {
		return Finding{Outcome: foxtailstack.NotRun}
	}
	lapse := time.NewTimer(left)
	defer lapse.Stop()
	select {
	case <-e.known:
	case <-ctx.Done():
	case <-lapse.C:
		_ = l.fire(attempt, triggerBar) // one that has started is waited for
		select {
		case <-e.known:
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.stage {
	case recorded:
		return Finding{Outcome: foxtailstack.Ran}
	case barred:
		return Finding{Outcome: foxtailstack.NotRun}
	default:
		return Finding{
			Outcome: foxtailstack.Unknown,
			Running: e.stage != failed,
		}
	}
}

// look returns the entry of an attempt and the time left to its start. It bars
// the attempt if there is none left.
func (l *Ledger) look(attempt foxtailstack.AttemptID) (*entry, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.attempts[attempt]
	if e == nil {
		return nil, 0
	}
	left := time.Until(e.expires)
	if left < 0 {
		_ = e.fire(triggerBar) // one that has started is waited for
	}
	return e, max(left, 0)
}

// fire moves an attempt.
func (l *Ledger) fire(attempt foxtailstack.AttemptID, t trigger) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.attempts[attempt]
	if e == nil {
		return ErrBarred
	}
	return e.fire(t)
}
