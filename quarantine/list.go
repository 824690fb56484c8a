package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// servedTTL is the time after a request has run to its end in which crashes under
	// equal requests do not count, up to as many as have run to their end. Requests that
	// are sent so often run on every upstream that crashes for another reason.
	servedTTL = 30 * time.Second
	// begunTTL is the same for parts of prompts, after an answer to one of them has
	// begun. It is shorter because a part may be one that has just turned harmful.
	begunTTL = 3 * time.Second
	// maxServed is the number of requests that are known to have run to their end, and of
	// parts that are known to have been answered.
	maxServed = 1 << 10
)

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
// or part. It returns zero if the crash is not added: it is known already, it does not count
// (see Discount), or there are maxCrashes crashes. In the last case only the time of the last
// crash is renewed.
func (l *List) Add(c Crash) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, served := l.discount(c)
	if served {
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
	suspect := l.evidence.record(s.Request) != nil
	if !suspect {
		l.served.give(s.Request) // for a suspect the crashes that it clears are enough
	}
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

// Discount reports whether a crash does not count, because an equal request has run to its
// end within servedTTL, and that more often than crashes were left out before, or an answer
// to the part has begun within begunTTL. It returns how long ago that was. A crash that does
// not count stays so.
func (l *List) Discount(c Crash) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.discount(c)
}

// discount is Discount for a caller that holds mu.
func (l *List) discount(c Crash) (time.Duration, bool) {
	if c.Kind == KindRequest {
		return l.served.discount(c.Fingerprint, c.ID, servedTTL)
	}
	return l.begun.age(c.Fingerprint, begunTTL)
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
