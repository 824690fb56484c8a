package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed write.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// clearDelay is how long the removal of the rows of cleared suspects may wait for
	// others, so that one write serves many. A crash is written at once.
	clearDelay = 500 * time.Millisecond
	// maxPending is the number of rows that wait to be written or removed. Further ones
	// are not shared.
	maxPending = 1 << 12
)

// outbox holds the rows of a table that are to be written to one place or removed from
// it, until that is done. The zero value is empty. An outbox must not be copied after
// first use.
type outbox struct {
	mu sync.Mutex
	// pending holds the rows to write, with true, and to remove, with false.
	pending map[string]bool
	// wake gets a value when rows become pending. It is nil before run is called.
	wake chan struct{}
}

// add lets run write or remove a row.
func (o *outbox) add(row string, write bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPending {
		return
	}
	if o.pending == nil {
		o.pending = make(map[string]bool)
	}
	o.pending[row] = write
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// state reports whether a row is pending, and whether it is to be written.
func (o *outbox) state(row string) (pending, write bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	write, pending = o.pending[row]
	return pending, write
}

// delivery says where an outbox writes its rows.
type delivery struct {
	writer foxtailstack.RecordWriter
	table  string
	// maxWrites is the number of rows that writer takes in one call.
	maxWrites int
	// value is the value of all rows.
	value []byte
	log   *zap.Logger
}

// run writes pending rows until ctx is done. After a failure it repeats the write with
// backoff.
func (o *outbox) run(ctx context.Context, to delivery) {
	wake := make(chan struct{}, 1)
	o.mu.Lock()
	o.wake = wake
	o.mu.Unlock()
	backoff := minBackoff
	for ctx.Err() == nil {
		if !o.hasPending() {
			select {
			case <-ctx.Done():
			case <-wake:
			}
			continue
		}
		o.awaitCrash(ctx, wake)
		err := o.write(ctx, to)
		if err == nil {
			backoff = minBackoff
			continue
		}
		_ = clock.Sleep(ctx, backoff/2+rand.N(backoff)) // ctx is checked next
		backoff = min(2*backoff, maxBackoff)
	}
}

// hasPending reports whether rows are pending.
func (o *outbox) hasPending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending) > 0
}

// awaitCrash waits until a crash is to be written, or for clearDelay.
func (o *outbox) awaitCrash(ctx context.Context, wake <-chan struct{}) {
	timer := time.NewTimer(clearDelay)
	defer timer.Stop()
	for !o.crashPending() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-wake:
		}
	}
}

// crashPending reports whether a crash is to be written.
func (o *outbox) crashPending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, write := range o.pending {
		if write {
			return true
		}
	}
	return false
}

// write writes and removes up to maxWrites pending rows. Rows stay pending if the writer
// did not take them, unless it refuses such a write.
func (o *outbox) write(ctx context.Context, to delivery) error {
	batch := make(map[string]bool)
	var records []foxtailstack.Record
	var remove []string
	o.mu.Lock()
	for row, write := range o.pending {
		if len(batch) >= to.maxWrites {
			break
		}
		batch[row] = write
		if !write {
			remove = append(remove, row)
			continue
		}
		records = append(records, foxtailstack.Record{
			Name:  row,
			Value: to.value,
		})
	}
	o.mu.Unlock()
	err := to.writer.Write(ctx, to.table, records, remove)
	if errors.Is(err, foxtailstack.ErrUnavailable) || errors.Is(err, foxtailstack.ErrUncertain) {
		to.log.Debug("crashes not written yet", zap.Int("rows", len(batch)), zap.Error(err))
		return err
	}
	if err != nil {
		to.log.Warn("crashes not written", zap.Int("rows", len(batch)), zap.Error(err))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for row, write := range batch {
		if o.pending[row] == write {
			delete(o.pending, row)
		}
	}
	return nil
}
