package quarantine

import (
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
