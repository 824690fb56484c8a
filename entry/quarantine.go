package entry

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/zeebo/xxh3"
)

const (
	// crashesToQuarantine is the number of crashes that put a request into
	// quarantine.
	crashesToQuarantine = 2
	// crashTTL is the time after the last crash for which the crashes of a
	// request count.
	crashTTL = 10 * time.Minute
	// connectionLossTTL replaces crashTTL if one of the crashes is inferred from
	// a lost connection. It is shorter because a network failure has the same
	// effect on requests that are not the cause.
	connectionLossTTL = 30 * time.Second
	// maxFingerprints is the maximum number of requests with recorded crashes.
	maxFingerprints = 1 << 12
	// maxTurnWait is the maximum time that a suspect waits for an equal request
	// to finish.
	maxTurnWait = 2 * time.Second
)

// Fingerprint identifies requests with the same service and body.
type Fingerprint [16]byte

// fingerprintOf returns the 128-bit xxh3 hash of the service and the body of a
// request.
func fingerprintOf(req *request) Fingerprint {
	var h xxh3.Hasher
	_, _ = h.WriteString(req.serviceID.String()) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(req.body)
	return h.Sum128().Bytes()
}

// crashRecord holds the crashes of upstreams while they ran equal requests.
type crashRecord struct {
	// attempts and crashedUpstreams hold the attempts that crashed and their
	// upstreams, at most crashesToQuarantine each.
	attempts         []foxtailstack.AttemptID
	crashedUpstreams []foxtailstack.UpstreamName
	lastCrash        time.Time
	// connectionLost is set if a crash is only inferred from a lost connection.
	connectionLost bool
	// runDone is closed once the admitted attempt has ended. It is nil if no
	// equal request runs.
	runDone chan struct{}
}

// quarantine records the requests that were running when upstreams crashed. A
// request with one crash is a suspect: equal requests run one at a time. A request
// with two crashes is refused until its record expires. The zero value is empty.
type quarantine struct {
	mu      sync.Mutex
	records map[Fingerprint]*crashRecord
}

// admission is the permission to make one attempt. The holder calls release when
// the attempt has ended.
type admission struct {
	suspect          bool
	crashedUpstreams []foxtailstack.UpstreamName
	release          func()
}

// admit returns the admission of one attempt of a request. A request in quarantine
// is refused at once with ErrQuarantined. A suspect waits until no equal request
// runs, and is refused with ErrNoUpstream after maxTurnWait or once ctx ends. The
// error holds the time after which the caller may retry.
func (q *quarantine) admit(ctx context.Context, key Fingerprint) (admission, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTurnWait)
	defer cancel()
	for {
		granted, runDone, err := q.tryAdmit(key)
		if runDone == nil {
			return granted, err
		}
		select {
		case <-runDone:
		case <-ctx.Done():
			return admission{}, unsentError(upstream.ReasonQuarantined, maxTurnWait, ErrNoUpstream)
		}
	}
}

// tryAdmit returns an admission, an error, or a channel that is closed when
// tryAdmit may be called again.
func (q *quarantine) tryAdmit(key Fingerprint) (admission, <-chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.record(key)
	if record == nil {
		return admission{release: func() {}}, nil, nil
	}
	if len(record.attempts) >= crashesToQuarantine {
		left := record.ttl() - time.Since(record.lastCrash)
		return admission{}, nil, unsentError(upstream.ReasonQuarantined, left, ErrQuarantined)
	}
	if record.runDone != nil {
		return admission{}, record.runDone, nil
	}
	runDone := make(chan struct{})
	record.runDone = runDone
	return admission{
		suspect:          true,
		crashedUpstreams: record.crashedUpstreams,
		release:          func() { q.release(record, runDone) },
	}, nil, nil
}

// ttl returns the time after the last crash at which the record expires.
func (r *crashRecord) ttl() time.Duration {
	if r.connectionLost {
		return connectionLossTTL
	}
	return crashTTL
}

// release ends an admission, so that the next equal request may run.
func (q *quarantine) release(record *crashRecord, runDone chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record.runDone = nil
	close(runDone)
}

// quarantined reports whether a request is in quarantine.
func (q *quarantine) quarantined(key Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.record(key)
	return record != nil && len(record.attempts) >= crashesToQuarantine
}

// addCrash records a crash. A second report of an attempt that is already in the
// record has no effect. Attempts beyond crashesToQuarantine are not kept, and each
// report of one renews lastCrash.
func (q *quarantine) addCrash(c Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.record(c.Fingerprint)
	if record == nil {
		q.makeRoom()
		record = &crashRecord{}
		q.records[c.Fingerprint] = record
	}
	for _, attempt := range record.attempts {
		if attempt == c.Attempt {
			return
		}
	}
	record.lastCrash = time.Now()
	if len(record.attempts) < crashesToQuarantine {
		record.attempts = append(record.attempts, c.Attempt)
		record.crashedUpstreams = append(record.crashedUpstreams, c.Upstream)
		record.connectionLost = record.connectionLost || c.ConnectionLost
	}
}

// clear removes the record of a suspect that has run without a crash. A request in
// quarantine stays there.
func (q *quarantine) clear(key Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.record(key)
	if record != nil && len(record.attempts) < crashesToQuarantine {
		delete(q.records, key)
	}
}

// record returns the crash record of a request, or nil if there is none or it has
// expired. The caller holds q.mu.
func (q *quarantine) record(key Fingerprint) *crashRecord {
	record := q.records[key]
	if record != nil && time.Since(record.lastCrash) >= record.ttl() {
		delete(q.records, key)
		return nil
	}
	return record
}

// makeRoom ensures that one more record can be added. If there are maxFingerprints
// records, it removes the one with the oldest last crash. The caller holds q.mu.
func (q *quarantine) makeRoom() {
	if q.records == nil {
		q.records = map[Fingerprint]*crashRecord{}
	}
	if len(q.records) < maxFingerprints {
		return
	}
	var oldest Fingerprint
	oldestTime := time.Now()
	for key, record := range q.records {
		if record.lastCrash.Before(oldestTime) {
			oldest, oldestTime = key, record.lastCrash
		}
	}
	delete(q.records, oldest)
}
