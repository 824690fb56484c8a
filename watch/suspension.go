package watch

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

const (
	// tickInterval is the time between two ticks of a Suspension. Ticks that come further
	// apart than suspendedTime show that the process stood still.
	tickInterval  = 200 * time.Millisecond
	suspendedTime = time.Second
	// maxHoldTime is the longest time for which a Suspension holds requests back. The
	// store is away if the configuration is not confirmed within it.
	maxHoldTime = 500 * time.Millisecond
	// holdCheckInterval is the time between two checks of the configuration meanwhile.
	holdCheckInterval = 5 * time.Millisecond
)

// Suspension finds out that the process stood still, with its machine or alone, and holds
// requests back until it knows what was ordered meanwhile. Its exported fields must be set
// before it is used. A nil Suspension holds nothing back.
type Suspension struct {
	// Confirmed returns the time at which the configuration was last confirmed, in time
	// since the machine booted.
	Confirmed func() time.Duration
	// Now returns the time since the machine booted, including time suspended.
	Now func() time.Duration
	Log *zap.Logger

	mu sync.Mutex
	// lastTick is the time of the last tick, zero before the first. resumedAt is the time
	// at which the process was last found to run again.
	lastTick  time.Duration
	resumedAt time.Duration
}

// Run ticks until ctx is done.
func (s *Suspension) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.tick()
		_ = clock.Sleep(ctx, tickInterval)
	}
}

// tick records that the process runs and returns the time at which it was last found to run
// again.
func (s *Suspension) tick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	gap := now - s.lastTick
	if s.lastTick != 0 && gap > suspendedTime {
		s.resumedAt = now
		s.Log.Info("process stood still", zap.Duration("gap", gap))
	}
	s.lastTick = max(s.lastTick, now)
	return s.resumedAt
}

// Await returns at once unless the process has just stood still. It then waits until the
// configuration has been confirmed, for maxHoldTime at most.
func (s *Suspension) Await(ctx context.Context) {
	if s == nil {
		return
	}
	for ctx.Err() == nil {
		resumedAt := s.tick()
		if resumedAt == 0 || s.Confirmed() >= resumedAt || s.Now()-resumedAt > maxHoldTime {
			return
		}
		_ = clock.Sleep(ctx, holdCheckInterval)
	}
}
