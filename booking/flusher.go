package booking

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
)

const (
	// flushTimeout bounds one write of an outcome to the table.
	flushTimeout = 2 * time.Second
	// firstRetry and lastRetry bound the time between two writes.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 5 * time.Second
	// maxPending is the size of the answers waiting for the table, in bytes,
	// above which no further attempt may start.
	maxPending = 16 << 20
)

// Metrics of the outcomes that sidecars record.
var (
	ranTotal        = metrics.NewCounter("foxtailstack_booking_ran_total")
	lostTotal       = metrics.NewCounter("foxtailstack_booking_lost_total")
	retryTotal      = metrics.NewCounter("foxtailstack_booking_flush_retries_total")
	supersededTotal = metrics.NewCounter("foxtailstack_booking_superseded_total")
)

// Result is how a started attempt ended.
type Result struct {
	Key    Key
	Digest Digest
	Claim  Claim
	Number foxtailstack.FencingToken
	Answer Answer
	// Failed is set if it is not known whether the attempt ran.
	Failed bool
}

// Flusher writes the results of started attempts to the table, for as long as
// that takes. Set Recorder and Ledger before use.
type Flusher struct {
	Recorder Recorder
	Ledger   *Ledger
	// Superseded, if set, is told of a result that the record cannot take any
	// more, because an operator has settled the booking otherwise.
	Superseded func(result Result)

	mu      sync.Mutex
	pending map[foxtailstack.AttemptID]Key
	size    int // of the pending answers in bytes
	idle    chan struct{}
	closed  chan struct{}
}

// Flush writes a result in the background and returns a channel that receives
// nil once the answer is in the table, or the error that keeps it out for good.
func (f *Flusher) Flush(result Result) <-chan error {
	written := make(chan error, 1)
	attempt := result.Claim.Attempt
	if result.Failed {
		_ = f.Ledger.Fail(attempt)
	} else {
		_ = f.Ledger.Finish(attempt)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prepare()
	if len(f.pending) == 0 {
		f.idle = make(chan struct{})
	}
	f.pending[attempt] = result.Key
	f.size += len(result.Answer.Body)
	go func() {
		written <- f.run(result)
		f.remove(result)
	}()
	return written
}

// Full reports whether the results that wait for the table take up so much
// memory that no further attempt may start.
func (f *Flusher) Full() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size > maxPending
}

// Wait waits until all results are written or ctx ends, and returns the keys of
// those that are not.
func (f *Flusher) Wait(ctx context.Context) []Key {
	f.mu.Lock()
	f.prepare()
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []Key
	for _, key := range f.pending {
		keys = append(keys, key)
	}
	return keys
}

// Close gives up the results that are not written yet.
func (f *Flusher) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prepare()
	close(f.closed)
}

// prepare makes what the zero value lacks. The caller holds f.mu.
func (f *Flusher) prepare() {
	if f.pending != nil {
		return
	}
	f.pending = map[foxtailstack.AttemptID]Key{}
	f.closed = make(chan struct{})
	f.idle = make(chan struct{})
	close(f.idle)
}

// remove ends the accounting of a result.
func (f *Flusher) remove(result Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, result.Claim.Attempt)
	f.size -= len(result.Answer.Body)
	if len(f.pending) == 0 {
		close(f.idle)
	}
}

// run writes one result until the table has taken it or f is closed.
func (f *Flusher) run(result Result) error {
	delay := firstRetry
	for {
		err := f.write(result)
		switch {
		case errors.Is(err, ErrTooLong):
			result.Failed = true
			_ = f.Ledger.Fail(result.Claim.Attempt)
			continue
		case errors.Is(err, ErrClaimed):
			supersededTotal.Inc()
			if f.Superseded != nil {
				f.Superseded(result)
			}
		case err != nil:
			retryTotal.Inc()
			if !f.sleep(delay + rand.N(delay)) {
				return err
			}
			delay = min(2*delay, lastRetry)
			continue
		}
		_ = f.Ledger.Record(result.Claim.Attempt)
		if err == nil && result.Failed {
			lostTotal.Inc()
			return ErrLost
		}
		return err
	}
}

// write writes one result once.
func (f *Flusher) write(result Result) error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if result.Failed {
		return f.Recorder.Lose(ctx, result.Key, result.Digest, result.Claim, result.Number)
	}
	err := f.Recorder.Finish(ctx, result.Key, result.Digest, result.Claim, result.Number, result.Answer)
	if err == nil {
		ranTotal.Inc()
	}
	return err
}

// sleep waits for d and reports whether f is still open.
func (f *Flusher) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.closed:
		return false
	}
}
