package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed call. The pause is
	// drawn at random from half to one and a half times the backoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Follower reads one table of the platform's store and follows its changes. Its
// exported fields must be set before Run is called.
type Follower struct {
	Feed  foxtailstack.Feed
	Table string
	// LongPollTimeout is how long the store holds a long poll open if there is no
	// change.
	LongPollTimeout time.Duration
	// ChangePause is the time between a response with changes and the next call, so that
	// one response holds changes that several writers make at nearly the same time.
	ChangePause time.Duration
	// MaxChangePause, if it is longer, is what that time grows to, twice as long after each
	// response, while changes go on: the first of many are seen soon, and all of them with
	// few calls.
	MaxChangePause time.Duration
	// Replace receives all rows of the table, each at least as new as version.
	Replace func(records []foxtailstack.Record, version foxtailstack.StoreVersion)
	// Update receives the rows that changed since the last call of Replace or
	// Update, up to version. A row that Replace received in a state newer than the
	// version passed to Replace is passed a second time.
	Update func(records []foxtailstack.Record, version foxtailstack.StoreVersion)
	// ConfirmCurrent is called after each successful call to the store with the time at
	// which that call started, or with the time until which the store has then waited for
	// changes without one. All changes made before that time have been passed to Replace
	// or Update. ConfirmCurrent may be nil.
	ConfirmCurrent func(at time.Duration)
	// Now returns the time since the machine booted, including time suspended.
	Now func() time.Duration
	Log *zap.Logger

	version foxtailstack.StoreVersion
	// storeLost is set by a failed call and reset by the next successful one.
	// ErrHistoryGone and failures after the end of the context of Run do not set it.
	storeLost bool
	// delayed is set if the last call failed, or ended so late that the process may have
	// stood still. The next one does not wait for changes, so that it soon confirms the
	// present state.
	delayed bool
	// pause is the time of the last pause after changes, which ended at pauseEnd.
	pause    time.Duration
	pauseEnd time.Time
}

// Run follows the table until ctx is done. After foxtailstack.ErrHistoryGone it
// reads the whole table again at once. After any other error it repeats the call with
// backoff.
func (f *Follower) Run(ctx context.Context) {
	tableRead := false
	backoff := minBackoff
	for ctx.Err() == nil {
		callStart := f.Now()
		unchanged := time.Duration(0)
		var err error
		if tableRead {
			unchanged, err = f.awaitChanges(ctx)
		} else {
			err = f.readTable(ctx)
		}
		switch {
		case err == nil:
			tableRead = true
			backoff = minBackoff
			f.recordSuccess()
			f.delayed = f.Now()-callStart > f.LongPollTimeout+suspendedTime
			if f.ConfirmCurrent != nil {
				f.ConfirmCurrent(callStart + unchanged)
			}
		case errors.Is(err, foxtailstack.ErrHistoryGone):
			tableRead = false
			f.Log.Info("history gone, table is read again",
				zap.String("table", f.Table), zap.Uint64("version", uint64(f.version)))
		default:
			f.recordFailure(ctx, err)
			f.delayed = true
			_ = clock.Sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// readTable reads the whole table and passes it to Replace.
func (f *Follower) readTable(ctx context.Context) error {
	records, version, err := f.Feed.Read(ctx, f.Table)
	if err != nil {
		return err
	}
	if f.version != 0 && version.Era() > f.version.Era() {
		f.Log.Warn("store restored from an older copy", zap.String("table", f.Table), zap.Uint64("era", version.Era()))
	}
	f.version = version
	f.Replace(records, version)
	return nil
}

// awaitChanges makes one long poll and passes the changed rows, if any, to Update. It
// returns the time from its start within which the table has certainly not changed: that
// of the long poll if it ended without a change, and not early.
func (f *Follower) awaitChanges(ctx context.Context) (time.Duration, error) {
	wait := f.LongPollTimeout
	if f.delayed {
		wait = 0
	}
	began := f.Now()
	records, version, err := f.Feed.Changes(ctx, f.Table, f.version, wait)
	if err != nil {
		return 0, err
	}
	f.version = version
	if len(records) > 0 {
		f.Update(records, version)
		f.pauseAfterChange(ctx)
		return 0, nil
	}
	if f.Now()-began < wait {
		return 0, nil
	}
	return wait, nil
}

// pauseAfterChange waits after a response with changes. The pause is twice as long as the
// last one if these changes were made soon after it.
func (f *Follower) pauseAfterChange(ctx context.Context) {
	longest := max(f.ChangePause, f.MaxChangePause)
	if time.Since(f.pauseEnd) > longest {
		f.pause = f.ChangePause
	} else {
		f.pause = min(2*f.pause, longest)
	}
	_ = clock.Sleep(ctx, f.pause) // Run checks ctx
	f.pauseEnd = time.Now()
}

// recordFailure logs the first of consecutive failures. It ignores failures caused
// by the end of ctx.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if f.storeLost || ctx.Err() != nil {
		return
	}
	f.storeLost = true
	f.Log.Warn("store lost", zap.String("table", f.Table), zap.Error(err))
}

// recordSuccess logs the first success after a failure.
func (f *Follower) recordSuccess() {
	if !f.storeLost {
		return
	}
	f.storeLost = false
	f.Log.Info("store regained", zap.String("table", f.Table), zap.Uint64("version", uint64(f.version)))
}
