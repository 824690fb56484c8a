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
	// maxCrashes is how many crashes put a request into quarantine.
	maxCrashes = 2
	// quarantineTime is how long crashes count after the last one.
	quarantineTime = 10 * time.Minute
	// lostTime is the same if a connection was lost, which a cut network does
	// to requests that are not to blame.
	lostTime = 30 * time.Second
	// maxSuspects bounds the number of fingerprints kept.
	maxSuspects = 1 << 12
	// maxTurn bounds the wait of a suspect for its like.
	maxTurn = 2 * time.Second
)

// Fingerprint identifies equal requests to one service.
type Fingerprint [16]byte

// fingerprintOf returns the fingerprint of a request, the xxh3 hash of its
// service and body.
func fingerprintOf(req *request) Fingerprint {
	var h xxh3.Hasher
	_, _ = h.WriteString(req.id.String()) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(req.body)
	return h.Sum128().Bytes()
}

// suspicion is what is known of a request that was running when an upstream
// crashed.
type suspicion struct {
	attempts []foxtailstack.AttemptID
	crashed  []foxtailstack.UpstreamName
	last     time.Time
	// lost is set if a crash is only inferred from a lost connection.
	lost bool
	// turn is closed once no equal request runs; nil if none does.
	turn chan struct{}
}

// quarantine remembers the requests that were running when upstreams crashed.
// One with a single crash is a suspect, whose like run one at a time; one with
// two is refused until the crashes are forgotten. The zero value is empty.
type quarantine struct {
	mu   sync.Mutex
	rows map[Fingerprint]*suspicion
}

// pass lets one attempt run.
type pass struct {
	suspect bool
	crashed []foxtailstack.UpstreamName
	leave   func()
}

// admit returns a pass for one attempt of a request. The error says how long
// the request remains in quarantine.
func (q *quarantine) admit(ctx context.Context, key Fingerprint) (pass, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTurn)
	defer cancel()
	for {
		p, turn, err := q.try(key)
		if turn == nil {
			return p, err
		}
		select {
		case <-turn:
		case <-ctx.Done():
			return pass{}, unsent(upstream.ReasonQuarantined, maxTurn, ErrNoUpstream)
		}
	}
}

// try returns a pass, a channel to wait for, or an error.
func (q *quarantine) try(key Fingerprint) (pass, <-chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	row := q.row(key)
	if row == nil {
		return pass{leave: func() {}}, nil, nil
	}
	if len(row.attempts) >= maxCrashes {
		left := row.span() - time.Since(row.last)
		return pass{}, nil, unsent(upstream.ReasonQuarantined, left, ErrQuarantined)
	}
	if row.turn != nil {
		return pass{}, row.turn, nil
	}
	turn := make(chan struct{})
	row.turn = turn
	return pass{
		suspect: true,
		crashed: row.crashed,
		leave:   func() { q.leave(row, turn) },
	}, nil, nil
}

// span returns how long the crashes count.
func (s *suspicion) span() time.Duration {
	if s.lost {
		return lostTime
	}
	return quarantineTime
}

// leave ends the turn of a suspect.
func (q *quarantine) leave(row *suspicion, turn chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	row.turn = nil
	close(turn)
}

// blocked reports whether a request is in quarantine.
func (q *quarantine) blocked(key Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	row := q.row(key)
	return row != nil && len(row.attempts) >= maxCrashes
}

// crash counts a crash, once for each attempt.
func (q *quarantine) crash(c Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	row := q.row(c.Fingerprint)
	if row == nil {
		q.prune()
		row = &suspicion{}
		q.rows[c.Fingerprint] = row
	}
	for _, attempt := range row.attempts {
		if attempt == c.Attempt {
			return
		}
	}
	row.last = time.Now()
	if len(row.attempts) < maxCrashes {
		row.attempts = append(row.attempts, c.Attempt)
		row.crashed = append(row.crashed, c.Upstream)
		row.lost = row.lost || c.ConnectionLost
	}
}

// clear forgets the crash of a suspect that ran well.
func (q *quarantine) clear(key Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	row := q.row(key)
	if row != nil && len(row.attempts) < maxCrashes {
		delete(q.rows, key)
	}
}

// row returns the suspicion of a request, or nil. The caller holds q.mu.
func (q *quarantine) row(key Fingerprint) *suspicion {
	row := q.rows[key]
	if row != nil && time.Since(row.last) >= row.span() {
		delete(q.rows, key)
		return nil
	}
	return row
}

// prune makes room for one more row, in place of the oldest if need be. The
// caller holds q.mu.
func (q *quarantine) prune() {
	if q.rows == nil {
		q.rows = map[Fingerprint]*suspicion{}
	}
	if len(q.rows) < maxSuspects {
		return
	}
	var oldest Fingerprint
	first := time.Now()
	for key, row := range q.rows {
		if row.last.Before(first) {
			oldest, first = key, row.last
		}
	}
	delete(q.rows, oldest)
}
