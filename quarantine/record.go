package quarantine

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// crashesToQuarantine is the number of crashes that put a request into
	// quarantine.
	crashesToQuarantine = 2
	// crashTTL is the time after the last crash for which the crashes of a
	// request or part count.
	crashTTL = 10 * time.Minute
	// inferredTTL replaces crashTTL if one of the crashes is only inferred from a
	// lost connection. It is shorter because a network failure has the same effect
	// on requests that are not the cause.
	inferredTTL = 30 * time.Second
	// holdTime is the time after a crash for which requests with the part that the upstream
	// had just started to answer are refused, before another tests it. The test may cost as
	// much as the crash, and such requests may have ceased to come by then.
	holdTime = 30 * time.Second
	// maxRecords is the maximum number of requests and parts with recorded crashes, and
	// maxCrashes that of the crashes of one of them.
	maxRecords = 1 << 12
	maxCrashes = 1 << 4
)

// record holds the crashes of upstreams under one request or one part.
type record struct {
	// crashes holds at most maxCrashes crashes.
	crashes   []Crash
	lastCrash time.Time
}

// find returns the index of a crash, or -1.
func (r *record) find(id CrashID) int {
	return slices.IndexFunc(r.crashes, func(c Crash) bool { return c.ID == id })
}

// ttl returns the time after the last crash at which the record expires.
func (r *record) ttl() time.Duration {
	if slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Inferred }) {
		return inferredTTL
	}
	return crashTTL
}

// expiresIn returns the time until the record expires.
func (r *record) expiresIn() time.Duration {
	return r.ttl() - time.Since(r.lastCrash)
}

// upstreams returns the upstreams that crashed.
func (r *record) upstreams() []foxtailstack.UpstreamName {
	var names []foxtailstack.UpstreamName
	for _, c := range r.crashes {
		names = append(names, c.Upstream)
	}
	return names
}

// event is one crash of an upstream with the requests and parts that it is recorded under.
// One of them is the cause, unless the upstream crashed for another reason.
type event struct {
	at         time.Time
	candidates map[Fingerprint]Kind
}

// parts returns the candidates of a kind.
func (e *event) parts(kind Kind) []Fingerprint {
	var parts []Fingerprint
	for key, k := range e.candidates {
		if k.has(kind) {
			parts = append(parts, key)
		}
	}
	return parts
}

// causes returns the parts that caused the crash, alone or together: those of the requests
// that the upstream had started to answer, or else those that a trial tested. If there are
// several such requests, one of them may be the cause, and the parts are those of all. It
// returns nil if the crash does not tell.
func (e *event) causes() []Fingerprint {
	started := e.parts(KindStarted)
	if len(started) > 0 {
		return started
	}
	return e.parts(KindTrial)
}

// tested reports whether one of the causes was tested when the upstream crashed, and had
// been a suspect before.
func (e *event) tested(causes []Fingerprint) bool {
	return slices.ContainsFunc(causes, func(key Fingerprint) bool { return e.candidates[key].has(KindTrial) })
}

// includes reports whether all keys are candidates.
func (e *event) includes(keys []Fingerprint) bool {
	for _, key := range keys {
		_, ok := e.candidates[key]
		if !ok {
			return false
		}
	}
	return true
}

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

// finding is what the evidence says about a request.
type finding struct {
	// refused is set if the request is in quarantine, for the time until.
	refused bool
	cause   Fingerprint
	until   time.Duration
	// suspects holds what the request is suspected by.
	suspects []Fingerprint
	// crashed holds the upstreams that crashed.
	crashed []foxtailstack.UpstreamName
}

// assess returns what the evidence says about a request. Equal requests are refused after
// crashesToQuarantine crashes, also if a part of theirs may be the cause. Parts are refused only together with all other parts that
// may be the causes of the same crash: one that occurs beside the cause may be sound.
func (e *evidence) assess(s Subject) finding {
	var f finding
	if len(e.records) == 0 {
		return f
	}
	r := e.record(s.Request)
	if r != nil {
		switch n := e.unexplained(r, s.Parts); {
		case n >= crashesToQuarantine:
			return finding{
				refused: true,
				cause:   s.Request,
				until:   r.expiresIn(),
			}
		case n > 0:
			f.suspects = append(f.suspects, s.Request)
			f.crashed = r.upstreams()
		}
	}
	for _, part := range s.Parts {
		r := e.record(part)
		if r == nil {
			continue
		}
		until := e.refusal(r, s.Parts)
		if until > 0 {
			return finding{
				refused: true,
				cause:   part,
				until:   until,
			}
		}
		if e.suspected(part, r) {
			f.suspects = append(f.suspects, part)
			f.crashed = append(f.crashed, r.upstreams()...)
		}
	}
	return f
}

// refusal returns for how long requests with some parts are refused because of one of
// them, the one with the record. It is zero if they are not: no crash of the record has
// causes that are all among the parts. After a trial the record has to expire, without one
// the holdTime is enough.
func (e *evidence) refusal(r *record, parts []Fingerprint) time.Duration {
	longest := time.Duration(0)
	for _, c := range r.crashes {
		ev := e.events[c.ID]
		causes := ev.causes()
		if len(causes) == 0 || !subset(causes, parts) {
			continue
		}
		until := holdTime - time.Since(ev.at)
		if ev.tested(causes) {
			until = r.expiresIn()
		}
		longest = max(longest, until)
	}
	return longest
}

// suspected reports whether a part with a record is a suspect: it may be the cause of a
// crash, alone or together with others, or it is a candidate of one that is not explained.
func (e *evidence) suspected(part Fingerprint, r *record) bool {
	return e.unexplained(r, nil) > 0 || slices.ContainsFunc(r.crashes, func(c Crash) bool {
		return slices.Contains(e.events[c.ID].causes(), part)
	})
}

// placement returns numbers of all suspect parts in their order, up to the first one of
// the given parts. The order is that of the fingerprints.
func (e *evidence) placement(parts []Fingerprint) []uint64 {
	compare := func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }
	first := slices.MinFunc(parts, compare)
	var before []Fingerprint
	for key, r := range e.records {
		if r.crashes[0].Kind != KindRequest && compare(key, first) <= 0 && e.suspected(key, r) {
			before = append(before, key)
		}
	}
	slices.SortFunc(before, compare)
	var numbers []uint64
	for _, key := range before {
		numbers = append(numbers, binary.LittleEndian.Uint64(key[:]))
	}
	return numbers
}
