package quarantine

import (
	"slices"
	"time"
)

// evidence holds the recorded crashes by what they are recorded under, and by crash. The
// zero value is empty.
type evidence struct {
	records map[Fingerprint]*record
	events  map[CrashID]*event
	// telling holds the events that tell their causes.
	telling map[CrashID]*event
}

// add records a crash and returns the number of crashes recorded under the same request
// or part. It returns zero if the crash is known already, or there are maxCrashes crashes;
// then only the time of the last crash is renewed. A crash that is known under a part is
// added if its kind tells more.
func (e *evidence) add(c Crash) int {
	r := e.record(c.Fingerprint)
	if r == nil {
		e.makeRoom()
		r = &record{}
		e.records[c.Fingerprint] = r
	}
	known := r.find(c.ID)
	if known >= 0 {
		if r.crashes[known].Kind.has(c.Kind) {
			return 0
		}
		r.crashes[known].Kind |= c.Kind
		e.index(r.crashes[known])
		return len(r.crashes)
	}
	r.lastCrash = time.Now()
	if len(r.crashes) >= maxCrashes {
		return 0
	}
	r.crashes = append(r.crashes, c)
	e.index(c)
	return len(r.crashes)
}

// index adds a crash to the event of its ID.
func (e *evidence) index(c Crash) {
	if e.events == nil {
		e.events = make(map[CrashID]*event)
		e.telling = make(map[CrashID]*event)
	}
	ev, ok := e.events[c.ID]
	if !ok {
		ev = &event{
			at:         time.Now(),
			candidates: make(map[Fingerprint]Kind),
		}
		e.events[c.ID] = ev
	}
	ev.candidates[c.Fingerprint] = c.Kind
	if c.Kind.has(KindStarted) || c.Kind.has(KindTrial) {
		e.telling[c.ID] = ev
	}
}

// unindex removes a crash from the event of its ID.
func (e *evidence) unindex(c Crash) {
	ev := e.events[c.ID]
	delete(ev.candidates, c.Fingerprint)
	if len(ev.candidates) == 0 {
		delete(e.events, c.ID)
	}
	if len(ev.causes()) == 0 {
		delete(e.telling, c.ID)
	}
}

// setKind replaces the kind of a crash that is recorded under a part.
func (e *evidence) setKind(key Fingerprint, id CrashID, kind Kind) {
	r := e.record(key)
	if r == nil {
		return
	}
	at := r.find(id)
	if at < 0 {
		return
	}
	r.crashes[at].Kind = kind
	ev := e.events[id]
	ev.candidates[key] = kind
	delete(e.telling, id)
	if len(ev.causes()) > 0 {
		e.telling[id] = ev
	}
}

// remove removes one crash from the record of a request or part, if it is there.
func (e *evidence) remove(key Fingerprint, id CrashID) {
	r := e.record(key)
	if r == nil {
		return
	}
	at := r.find(id)
	if at < 0 {
		return
	}
	e.unindex(r.crashes[at])
	r.crashes = slices.Delete(r.crashes, at, at+1)
	if len(r.crashes) == 0 {
		delete(e.records, key)
	}
}

// removeAll removes the record of a request or part and returns its crashes.
func (e *evidence) removeAll(key Fingerprint) []Crash {
	r, ok := e.records[key]
	if !ok {
		return nil
	}
	for _, c := range r.crashes {
		e.unindex(c)
	}
	delete(e.records, key)
	return r.crashes
}

// record returns the record of a request or part, or nil if there is none or it has
// expired.
func (e *evidence) record(key Fingerprint) *record {
	r := e.records[key]
	if r != nil && r.expiresIn() <= 0 {
		e.removeAll(key)
		return nil
	}
	return r
}

// makeRoom ensures that one more record can be added. If there are maxRecords, it
// removes the one with the oldest last crash.
func (e *evidence) makeRoom() {
	if e.records == nil {
		e.records = make(map[Fingerprint]*record)
	}
	if len(e.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	oldestTime := time.Now()
	for key, r := range e.records {
		if r.lastCrash.Before(oldestTime) {
			oldest, oldestTime = key, r.lastCrash
		}
	}
	e.removeAll(oldest)
}

// explained reports whether parts that are known as the causes of a crash are candidates
// of an event, other than those of own. Its other candidates are then no suspects for it.
func (e *evidence) explained(id CrashID, own []Fingerprint) bool {
	ev := e.events[id]
	for _, other := range e.telling {
		causes := other.causes()
		if ev.includes(causes) && !subset(causes, own) {
			return true
		}
	}
	return false
}

// subset reports whether all keys are among others.
func subset(keys, others []Fingerprint) bool {
	return !slices.ContainsFunc(keys, func(key Fingerprint) bool { return !slices.Contains(others, key) })
}

// unexplained returns the number of crashes in a record that are not explained by parts
// other than those of own.
func (e *evidence) unexplained(r *record, own []Fingerprint) int {
	n := 0
	for _, c := range r.crashes {
		if !e.explained(c.ID, own) {
			n++
		}
	}
	return n
}
