package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// servedTTL is the time after a request has run to its end in which crashes under
	// equal requests do not count. Requests that are sent so often run on every
	// upstream that crashes for another reason.
	servedTTL = 30 * time.Second
	// begunTTL is the same for parts of prompts, after an answer to one of them has
	// begun. It is shorter because a part may be one that has just turned harmful.
	begunTTL = 3 * time.Second
	// maxServed is the number of requests that are known to have run to their end, and of
	// parts that are known to have been answered.
	maxServed = 1 << 10
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

// List records the requests and the parts of prompts that were running when upstreams
// crashed. What one crash is recorded under is a suspect: requests with it run one at a
// time. Equal requests with two crashes are in quarantine, and so are requests with a part
// that crashed an upstream in a trial; they are refused until the record expires. Requests
// with a part that an upstream had just started to answer are refused for holdTime. The
// zero value is empty. A List must not be copied after first use.
type List struct {
	mu       sync.Mutex
	evidence evidence
	// admitted holds the admissions that have not been released, and running the suspects
	// of those among them that are suspects.
	admitted map[*holder]struct{}
	running  map[Fingerprint]struct{}
	// changed is closed and replaced when a suspect may get its turn. It is nil while
	// none waits.
	changed chan struct{}
	// served holds the requests that have run to their end, begun the parts of those that
	// have begun to be answered.
	served servedLog
	begun  servedLog
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

// Quarantined reports whether a request, or each request with a part, is in quarantine.
func (l *List) Quarantined(key Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.evidence.record(key)
	if r == nil {
		return false
	}
	if r.crashes[0].Kind == KindRequest {
		return l.evidence.unexplained(r, nil) >= crashesToQuarantine
	}
	return l.evidence.refusal(r, []Fingerprint{key}) > 0
}

// Add records a crash and returns the number of crashes recorded under the same request
// or part. It returns zero if the crash is not added: it is known already, an equal request
// has run to its end within servedTTL, an answer to the part has begun within begunTTL, or
// there are maxCrashes crashes. In the last case only the time of the last crash is
// renewed.
func (l *List) Add(c Crash) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.servedRecently(c) {
		return 0
	}
	n := l.evidence.add(c)
	if n == 0 {
		return 0
	}
	for h := range l.admitted {
		if h.subject.Request == c.Fingerprint || slices.Contains(h.subject.Parts, c.Fingerprint) {
			h.cancel()
		}
	}
	l.wake() // the crash may explain others
	return n
}

// Served records that a request has run to its end, and therefore that an answer to its
// parts has begun. It removes the records of suspects in it and returns their crashes. A
// request in quarantine stays there.
func (l *List) Served(s Subject) []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.add(s.Request)
	l.addBegun(s)
	return l.clear(s, s.keys())
}

// Begun records that an answer to the parts of a request has begun. It removes the
// records of those that are suspects and returns their crashes. A request in quarantine
// stays there.
func (l *List) Begun(s Subject) []Crash {
	if len(s.Parts) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addBegun(s)
	return l.clear(s, s.Parts)
}

// addBegun records when an answer to the parts of a request began. The caller holds mu.
func (l *List) addBegun(s Subject) {
	for _, part := range s.Parts {
		l.begun.add(part)
	}
}

// clear removes the records of some keys of a request unless it is in quarantine, and
// returns their crashes. The caller holds mu.
func (l *List) clear(s Subject, keys []Fingerprint) []Crash {
	if l.evidence.assess(s).refused {
		return nil
	}
	var cleared []Crash
	for _, key := range keys {
		cleared = append(cleared, l.evidence.removeAll(key)...)
	}
	if len(cleared) > 0 {
		l.wake()
	}
	return cleared
}

// ServedRecently reports whether a crash does not count, because an equal request has
// run to its end within servedTTL, or an answer to the part has begun within begunTTL.
func (l *List) ServedRecently(c Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servedRecently(c)
}

// servedRecently is ServedRecently for a caller that holds mu.
func (l *List) servedRecently(c Crash) bool {
	if c.Kind == KindRequest {
		return l.served.has(c.Fingerprint, servedTTL)
	}
	return l.begun.has(c.Fingerprint, begunTTL)
}

// Known reports whether an answer to a part has begun within crashTTL.
func (l *List) Known(part Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begun.has(part, crashTTL)
}

// SetKind replaces the kind of a crash that is recorded under a part, if it is there.
func (l *List) SetKind(part Fingerprint, id CrashID, kind Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evidence.setKind(part, id, kind)
	l.wake()
}

// Remove removes one crash from the record of a request or part, if it is there.
func (l *List) Remove(key Fingerprint, id CrashID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evidence.remove(key, id)
	l.wake()
}

// Has reports whether a crash is recorded.
func (l *List) Has(c Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.evidence.record(c.Fingerprint)
	return r != nil && r.find(c.ID) >= 0
}

// All returns the crashes of all records that have not expired, in no particular order.
func (l *List) All() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Crash
	for key, r := range l.evidence.records {
		if l.evidence.record(key) != nil {
			all = append(all, r.crashes...)
		}
	}
	return all
}
