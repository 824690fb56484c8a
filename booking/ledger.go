package booking

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Ledger lets each attempt start at most once in one incarnation of a sidecar.
// The zero value is ready for use.
type Ledger struct {
	mu       sync.Mutex
	attempts map[foxtailstack.AttemptID]*entry
}

// entry is what the ledger knows of one attempt.
type entry struct {
	started bool
	barred  bool
	expires time.Time
	done    chan struct{}
	answer  Answer
	ok      bool
}

// Reserve admits an attempt, which must start before the reservation expires.
func (l *Ledger) Reserve(attempt foxtailstack.AttemptID, d time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = map[foxtailstack.AttemptID]*entry{}
	}
	if l.attempts[attempt] != nil {
		return ErrBarred
	}
	l.attempts[attempt] = &entry{
		expires: time.Now().Add(d),
		done:    make(chan struct{}),
	}
	return nil
}

// Start marks an attempt as started. It returns ErrBarred if the attempt has
// started before, was barred, or its reservation has expired.
func (l *Ledger) Start(attempt foxtailstack.AttemptID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.attempts[attempt]
	if e == nil || e.started || e.barred || time.Now().After(e.expires) {
		return ErrBarred
	}
	e.started = true
	return nil
}

// Finish keeps the answer of a started attempt. With ok false the attempt
// failed after it started, so that it is not known whether it ran.
func (l *Ledger) Finish(attempt foxtailstack.AttemptID, answer Answer, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.attempts[attempt]
	if e == nil || !e.started {
		return
	}
	e.answer, e.ok = answer, ok
	close(e.done)
}

// Bar keeps an attempt from starting for good. It reports whether it came
// before the start.
func (l *Ledger) Bar(attempt foxtailstack.AttemptID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = map[foxtailstack.AttemptID]*entry{}
	}
	e := l.attempts[attempt]
	if e == nil {
		e = &entry{done: make(chan struct{})}
		l.attempts[attempt] = e
	}
	if e.started {
		return false
	}
	e.barred = true
	return true
}

// Wait waits until a started attempt has ended and returns its answer. It
// returns false if the attempt failed, never started, or ctx ended first.
func (l *Ledger) Wait(ctx context.Context, attempt foxtailstack.AttemptID) (Answer, bool) {
	l.mu.Lock()
	e := l.attempts[attempt]
	l.mu.Unlock()
	if e == nil || !e.started {
		return Answer{}, false
	}
	select {
	case <-e.done:
		return e.answer, e.ok
	case <-ctx.Done():
		return Answer{}, false
	}
}
