package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// maxTurnWait is the maximum time that a suspect waits for its turn.
	maxTurnWait = 2 * time.Second
	// severalSuspectsDelay is the time for which a request waits for each suspect in it
	// beyond the first. Requests with fewer go first: what happens to them tells more.
	severalSuspectsDelay = 500 * time.Millisecond
)

// Errors of Admit.
var (
	// ErrQuarantined means that upstreams crashed while they ran equal requests, or
	// requests with the same part.
	ErrQuarantined = errors.New("request is quarantined after crashes of upstreams")
	// ErrTurn means that a request with the same suspect runs, and that no other may run
	// beside it because an upstream crashed under one of them.
	ErrTurn = errors.New("a request with the same suspect has not finished in time")
)

// RefusedError is the refusal of a request. It wraps ErrQuarantined or ErrTurn.
type RefusedError struct {
	Err error
	// Cause is the request or part that upstreams crashed under.
	Cause Fingerprint
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// Error returns the text of the error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: retry after %s", e.Err, e.RetryAfter)
}

// Unwrap returns the underlying error.
func (e *RefusedError) Unwrap() error {
	return e.Err
}

// holder is a request that was admitted.
type holder struct {
	subject  Subject
	suspects []Fingerprint
	outdated context.Context
	cancel   context.CancelFunc
}

// Admission is the permission to make one attempt. The holder calls Release when the
// attempt has ended.
type Admission struct {
	// Suspect is set if an upstream crashed while it ran an equal request, or one with
	// the same part.
	Suspect bool
	// Trial holds the parts that the attempt tests: those that are suspects, and those
	// that have not been answered here yet. It is empty if no part is a suspect, or if
	// the request as a whole is one: a crash under it would not tell which is the cause.
	Trial []Fingerprint
	// Placement holds numbers of all suspect parts up to the first one of the request, in
	// an order that is the same at all entries. It is empty if no part is a suspect.
	Placement []uint64
	// Crashed holds the upstreams that crashed.
	Crashed []foxtailstack.UpstreamName
	// Outdated ends when another crash is recorded under the request or one of its
	// parts. An attempt that has not been sent by then needs a new admission.
	Outdated context.Context
	Release  func()
}

// Admit returns the admission of one attempt of a request. A request in quarantine
// is refused at once with ErrQuarantined. A suspect waits until no request with the same
// suspects runs, and is refused with ErrTurn after maxTurnWait or once ctx ends. The error
// is a *RefusedError.
func (l *List) Admit(ctx context.Context, s Subject) (Admission, error) {
	granted, wait, err := l.tryAdmit(s, 0)
	if wait == nil {
		return granted, err
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, maxTurnWait)
	defer cancel()
	for wait != nil {
		err := wait.run(ctx)
		if err != nil {
			return Admission{}, &RefusedError{
				Err:        ErrTurn,
				Cause:      wait.suspect,
				RetryAfter: maxTurnWait,
			}
		}
		granted, wait, err = l.tryAdmit(s, time.Since(began))
		if err != nil {
			return granted, err
		}
	}
	return granted, nil
}

// turnWait is what a suspect waits for before it asks again.
type turnWait struct {
	suspect Fingerprint
	changed <-chan struct{}
	// delay ends the wait too; zero means that it does not.
	delay time.Duration
}

// run waits. It returns an error if ctx ends first.
func (w *turnWait) run(ctx context.Context) error {
	var due <-chan time.Time
	if w.delay > 0 {
		timer := time.NewTimer(w.delay)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-w.changed:
		return nil
	case <-due:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryAdmit returns an admission, an error, or what a request that has waited for some
// time has to wait for further.
func (l *List) tryAdmit(s Subject, waited time.Duration) (Admission, *turnWait, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.evidence.assess(s)
	if found.refused {
		return Admission{}, nil, &RefusedError{
			Err:        ErrQuarantined,
			Cause:      found.cause,
			RetryAfter: found.until,
		}
	}
	wait := l.turn(found.suspects, waited)
	if wait != nil {
		return Admission{}, wait, nil
	}
	h := l.hold(s, found.suspects)
	granted := Admission{
		Suspect:  len(found.suspects) > 0,
		Crashed:  found.crashed,
		Outdated: h.outdated,
		Release:  func() { l.release(h) },
	}
	parts := slices.DeleteFunc(slices.Clone(found.suspects), func(key Fingerprint) bool { return key == s.Request })
	if len(parts) == 0 {
		return granted, nil, nil
	}
	granted.Placement = l.evidence.placement(parts)
	if len(parts) == len(found.suspects) {
		granted.Trial = l.testedParts(s, parts)
	}
	return granted, nil, nil
}

// turn returns what a request with the given suspects has to wait for, or nil. The caller
// holds mu.
func (l *List) turn(suspects []Fingerprint, waited time.Duration) *turnWait {
	for _, key := range suspects {
		_, busy := l.running[key]
		if busy {
			return &turnWait{
				suspect: key,
				changed: l.change(),
			}
		}
	}
	delay := time.Duration(max(len(suspects)-1, 0))*severalSuspectsDelay - waited
	if delay <= 0 {
		return nil
	}
	return &turnWait{
		suspect: suspects[0],
		changed: l.change(),
		delay:   delay,
	}
}

// change returns the channel that is closed when a suspect may get its turn. The caller
// holds mu.
func (l *List) change() <-chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// wake lets the suspects that wait ask again. The caller holds mu.
func (l *List) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// testedParts returns the parts that an attempt with some suspects tests. The caller
// holds mu.
func (l *List) testedParts(s Subject, suspects []Fingerprint) []Fingerprint {
	var tested []Fingerprint
	for _, part := range s.Parts {
		if slices.Contains(suspects, part) || !l.begun.has(part, crashTTL) {
			tested = append(tested, part)
		}
	}
	return tested
}

// hold returns a new holder. The caller holds mu.
func (l *List) hold(s Subject, suspects []Fingerprint) *holder {
	h := &holder{
		subject:  s,
		suspects: suspects,
	}
	h.outdated, h.cancel = context.WithCancel(context.Background())
	if l.admitted == nil {
		l.admitted = make(map[*holder]struct{})
		l.running = make(map[Fingerprint]struct{})
	}
	l.admitted[h] = struct{}{}
	for _, key := range suspects {
		l.running[key] = struct{}{}
	}
	return h
}

// release ends an admission.
func (l *List) release(h *holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.cancel()
	delete(l.admitted, h)
	for _, key := range h.suspects {
		delete(l.running, key)
	}
	if len(h.suspects) > 0 {
		l.wake()
	}
}
