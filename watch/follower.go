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
	// minPause and maxPause bound the time between two calls that fail.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// Follower follows one table of the platform's store.
type Follower struct {
	Feed  foxtailstack.Feed
	Table string
	// LongPollTimeout is how long one call may wait for a change.
	LongPollTimeout time.Duration
	// Replace is given all rows of the table, as of a version.
	Replace func(records []foxtailstack.Record, version foxtailstack.StoreVersion)
	// Update is given the rows that changed up to a version.
	Update func(records []foxtailstack.Record, version foxtailstack.StoreVersion)
	// ConfirmCurrent is told when the call began whose answer showed that all changes
	// before it are known. It may be nil.
	ConfirmCurrent func(began time.Duration)
	// Now is the time since the start of the machine, suspensions included.
	Now func() time.Duration
	Log *zap.Logger

	version foxtailstack.StoreVersion
	lost    bool
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	known := false
	pause := minPause
	for ctx.Err() == nil {
		began := f.Now()
		var err error
		if known {
			err = f.follow(ctx)
		} else {
			err = f.read(ctx)
		}
		switch {
		case err == nil:
			known = true
			pause = minPause
			f.regained()
			if f.ConfirmCurrent != nil {
				f.ConfirmCurrent(began)
			}
		case errors.Is(err, foxtailstack.ErrHistoryGone):
			known = false
			f.Log.Info("history gone, table is read again",
				zap.String("table", f.Table), zap.Uint64("version", uint64(f.version)))
		default:
			f.failed(ctx, err)
			_ = clock.Sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxPause)
		}
	}
}

// read reads the whole table.
func (f *Follower) read(ctx context.Context) error {
	records, version, err := f.Feed.Read(ctx, f.Table)
	if err != nil {
		return err
	}
	f.version = version
	f.Replace(records, version)
	return nil
}

// follow waits for changes once.
func (f *Follower) follow(ctx context.Context) error {
	records, version, err := f.Feed.Changes(ctx, f.Table, f.version, f.LongPollTimeout)
	if err != nil {
		return err
	}
	f.version = version
	if len(records) > 0 {
		f.Update(records, version)
	}
	return nil
}

// failed logs the first failure of a row of failures.
func (f *Follower) failed(ctx context.Context, err error) {
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	f.Log.Warn("store lost", zap.String("table", f.Table), zap.Error(err))
}

// regained logs the first success after failures.
func (f *Follower) regained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.Log.Info("store regained", zap.String("table", f.Table), zap.Uint64("version", uint64(f.version)))
}
