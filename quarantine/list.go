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
	// crashesToQuarantine is the number of crashes that put a request into
	// quarantine.
	crashesToQuarantine = 2
	// crashTTL is the time after the last crash for which the crashes of a
	// request count.
	crashTTL = 10 * time.Minute
	// inferredTTL replaces crashTTL if one of the crashes is only inferred from a
	// lost connection. It is shorter because a network failure has the same effect
	// on requests that are not the cause.
	inferredTTL = 30 * time.Second
	// maxRecords is the maximum number of requests with recorded crashes, and
	// maxCrashes that of the crashes of one request.
	maxRecords = 1 << 12
	maxCrashes = 1 << 4
	// servedTTL is the time after a request has run to its end in which crashes under
	// equal requests do not count. Requests that are sent so often run on every
	// upstream that crashes for another reason.
	servedTTL = 30 * time.Second
	// maxServed is the number of requests that are known to have run to their end.
	maxServed = 1 << 10
	// maxTurnWait is the maximum time that a suspect waits for an equal request
	// to finish.
	maxTurnWait = 2 * time.Second
)

// Errors of Admit.
var (
	// ErrQuarantined means that upstreams crashed while they ran equal requests.
	ErrQuarantined = errors.New("request is quarantined after crashes of upstreams")
	// ErrTurn means that an equal request runs, and that no other may run beside it
	// because an upstream crashed under one of them.
	ErrTurn = errors.New("an equal request has not finished in time")
)

// RefusedError is the refusal of a request. It wraps ErrQuarantined or ErrTurn.
type RefusedError struct {
	Err error
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

// CrashID identifies a crash of an upstream. Reports with the same fingerprint and
// CrashID are about one crash.
type CrashID string

// Crash is a crash of an upstream while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	ID          CrashID
	Upstream    foxtailstack.UpstreamName
	// Inferred is set if the crash is only inferred from a lost connection.
	Inferred bool
}

// record holds the crashes of upstreams while they ran equal requests.
type record struct {
	// crashes holds at most maxCrashes crashes.
	crashes   []Crash
	lastCrash time.Time
	// runDone is closed once the admitted suspect has finished. It is nil if no
	// equal request runs.
	runDone chan struct{}
}

// watch ends when a crash of a request is recorded that its holders have been admitted
// without.
type watch struct {
	ctx     context.Context
	cancel  context.CancelFunc
	holders int
}

// List records the requests that were running when upstreams crashed. A request with
// one crash is a suspect: equal requests run one at a time. A request with two
// crashes is in quarantine: it is refused until its record expires. The zero value is
// empty. A List must not be copied after first use.
type List struct {
	mu      sync.Mutex
	records map[Fingerprint]*record
	// watches holds the watches of the admissions that have not been released.
	watches map[Fingerprint]*watch
	served  servedLog
}

// Admission is the permission to make one attempt. The holder calls Release when the
// attempt has ended.
type Admission struct {
	// Suspect is set if an upstream crashed while it ran an equal request.
	Suspect bool
	// Crashed holds the upstreams that crashed.
	Crashed []foxtailstack.UpstreamName
	// Outdated ends when another crash of an equal request is recorded. An attempt that
	// has not been sent by then needs a new admission.
	Outdated context.Context
	Release  func()
}

// Admit returns the admission of one attempt of a request. A request in quarantine
// is refused at once with ErrQuarantined. A suspect waits until no equal request
// runs, and is refused with ErrTurn after maxTurnWait or once ctx ends. The error is
// a *RefusedError.
func (l *List) Admit(ctx context.Context, key Fingerprint) (Admission, error) {
	granted, runDone, err := l.tryAdmit(key)
	if runDone == nil {
		return granted, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxTurnWait)
	defer cancel()
	for runDone != nil {
		select {
		case <-runDone:
		case <-ctx.Done():
			return Admission{}, &RefusedError{
				Err:        ErrTurn,
				RetryAfter: maxTurnWait,
			}
		}
		granted, runDone, err = l.tryAdmit(key)
	}
	return granted, err
}

// tryAdmit returns an admission, an error, or a channel that is closed when
// tryAdmit may be called again.
func (l *List) tryAdmit(key Fingerprint) (Admission, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(key)
	if r == nil {
		w := l.addHolder(key)
		return Admission{
			Outdated: w.ctx,
			Release:  func() { l.release(key, w, nil) },
		}, nil, nil
	}
	if r.quarantined() {
		return Admission{}, nil, &RefusedError{
			Err:        ErrQuarantined,
			RetryAfter: r.ttl() - time.Since(r.lastCrash),
		}
	}
	if r.runDone != nil {
		return Admission{}, r.runDone, nil
	}
	r.runDone = make(chan struct{})
	w := l.addHolder(key)
	return Admission{
		Suspect:  true,
		Crashed:  r.upstreams(),
		Outdated: w.ctx,
		Release:  func() { l.release(key, w, r) },
	}, nil, nil
}

// addHolder returns the watch of a request for a new admission. The caller holds mu.
func (l *List) addHolder(key Fingerprint) *watch {
	w, ok := l.watches[key]
	if !ok {
		w = &watch{}
		w.ctx, w.cancel = context.WithCancel(context.Background())
		if l.watches == nil {
			l.watches = make(map[Fingerprint]*watch)
		}
		l.watches[key] = w
	}
	w.holders++
	return w
}

// release ends an admission. The record is that of a suspect, whose turn ends, or nil.
func (l *List) release(key Fingerprint, w *watch, suspect *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.holders--
	if w.holders == 0 {
		w.cancel()
		if l.watches[key] == w {
			delete(l.watches, key)
		}
	}
	if suspect != nil {
		close(suspect.runDone)
		suspect.runDone = nil
	}
}

// Quarantined reports whether a request is in quarantine.
func (l *List) Quarantined(key Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(key)
	return r != nil && r.quarantined()
}

// Add records a crash and returns the number of crashes of the request that are
// recorded. It returns zero if the crash is not added: it is in the record already, an
// equal request has run to its end within servedTTL, or there are maxCrashes crashes. In
// the last case only the time of the last crash is renewed.
func (l *List) Add(c Crash) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.served.has(c.Fingerprint) {
		return 0
	}
	r := l.record(c.Fingerprint)
	if r == nil {
		l.makeRoom()
		r = &record{}
		l.records[c.Fingerprint] = r
	}
	if slices.ContainsFunc(r.crashes, func(known Crash) bool { return known.ID == c.ID }) {
		return 0
	}
	r.lastCrash = time.Now()
	if len(r.crashes) >= maxCrashes {
		return 0
	}
	r.crashes = append(r.crashes, c)
	w, ok := l.watches[c.Fingerprint]
	if ok {
		w.cancel()
		delete(l.watches, c.Fingerprint)
	}
	return len(r.crashes)
}

// Served records that a request has run to its end. It removes the record of a suspect
// and returns its crashes. A request in quarantine stays there.
func (l *List) Served(key Fingerprint) []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.add(key)
	r := l.record(key)
	if r == nil || r.quarantined() {
		return nil
	}
	delete(l.records, key)
	return r.crashes
}

// ServedRecently reports whether a request has run to its end within servedTTL.
func (l *List) ServedRecently(key Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served.has(key)
}

// Remove removes one crash from the record of a request, if it is there.
func (l *List) Remove(key Fingerprint, id CrashID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(key)
	if r == nil {
		return
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.ID == id })
	if len(r.crashes) == 0 {
		delete(l.records, key)
	}
}

// All returns the crashes of all records that have not expired, in no particular order.
func (l *List) All() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Crash
	for key, r := range l.records {
		if l.record(key) != nil {
			all = append(all, r.crashes...)
		}
	}
	return all
}

// record returns the record of a request, or nil if there is none or it has expired.
// The caller holds mu.
func (l *List) record(key Fingerprint) *record {
	r := l.records[key]
	if r != nil && time.Since(r.lastCrash) >= r.ttl() {
		delete(l.records, key)
		return nil
	}
	return r
}

// makeRoom ensures that one more record can be added. If there are maxRecords, it
// removes the one with the oldest last crash. The caller holds mu.
func (l *List) makeRoom() {
	if l.records == nil {
		l.records = make(map[Fingerprint]*record)
	}
	if len(l.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	oldestTime := time.Now()
	for key, r := range l.records {
		if r.lastCrash.Before(oldestTime) {
			oldest, oldestTime = key, r.lastCrash
		}
	}
	delete(l.records, oldest)
}

// quarantined reports whether the request is in quarantine.
func (r *record) quarantined() bool {
	return len(r.crashes) >= crashesToQuarantine
}

// ttl returns the time after the last crash at which the record expires.
func (r *record) ttl() time.Duration {
	if slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Inferred }) {
		return inferredTTL
	}
	return crashTTL
}

// upstreams returns the upstreams that crashed.
func (r *record) upstreams() []foxtailstack.UpstreamName {
	var names []foxtailstack.UpstreamName
	for _, c := range r.crashes {
		names = append(names, c.Upstream)
	}
	return names
}
