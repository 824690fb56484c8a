package upstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// probeInterval is the time between two probes of an engine that is down.
	probeInterval = 200 * time.Millisecond
	// probeTries is the number of tries of one probe while connections to the engine are
	// lost, and probeRetryDelay the time between two tries.
	probeTries      = 3
	probeRetryDelay = 10 * time.Millisecond
	// probeTimeout is the time limit of one probe.
	probeTimeout = time.Second
)

// health records whether the engine is down. The zero value means that it is up.
type health struct {
	down atomic.Bool
}

// confirmDown probes the engine unless it is already known to be down, and reports
// whether it is down. If so, it starts to probe for recovery in the background.
func (s *Server) confirmDown(ctx context.Context) bool {
	if s.health.down.Load() {
		return true
	}
	ctx = context.WithoutCancel(ctx)
	if s.probeEngine(ctx) {
		return false
	}
	if !s.health.down.Swap(true) {
		s.record(EventDown, "")
		go s.awaitRecovery(ctx)
	}
	return true
}

// awaitRecovery probes the engine until it is up again.
func (s *Server) awaitRecovery(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for range ticker.C {
		if s.probeEngine(ctx) {
			s.record(EventUp, "")
			s.health.down.Store(false)
			return
		}
	}
}

// MonitorEngine probes the engine every second until ctx ends, so that the crash of an
// idle engine is detected before the next attempt.
func (s *Server) MonitorEngine(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		s.confirmDown(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probeEngine reports whether the engine is up. It is up if it accepts connections,
// even if it responds with an error or too late. A crashing engine may accept a
// connection shortly before it refuses them, so a lost connection is tried again.
func (s *Server) probeEngine(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for range probeTries {
		_, err := s.Engine.Load(ctx)
		if errors.Is(err, foxtailstack.ErrEngineRefused) {
			return false
		}
		if !errors.Is(err, foxtailstack.ErrEngineLost) {
			return true
		}
		time.Sleep(probeRetryDelay)
	}
	return false
}

// exclusiveSlot is a slot for attempts that may crash the engine. Only one of them runs
// at a time, so that a crash can be attributed to it. The zero value is free.
type exclusiveSlot struct {
	once sync.Once
	slot chan struct{}
}

// acquire waits until the slot is free and takes it, or returns an error if ctx ends.
func (l *exclusiveSlot) acquire(ctx context.Context) error {
	l.once.Do(func() { l.slot = make(chan struct{}, 1) })
	select {
	case l.slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// release frees the slot.
func (l *exclusiveSlot) release() {
	<-l.slot
}
