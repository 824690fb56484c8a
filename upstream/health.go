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
	// engineProbeInterval is the time between two probes of an engine that is down. These
	// probes are not the load probes of entries; see Probe.
	engineProbeInterval = 200 * time.Millisecond
	// engineProbeTries is the number of tries of one probe while connections to the engine
	// are lost, and engineProbeRetryDelay the time between two tries.
	engineProbeTries      = 3
	engineProbeRetryDelay = 10 * time.Millisecond
	// engineProbeTimeout is the time limit of one probe.
	engineProbeTimeout = time.Second
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
		s.recordEvent(EventDown, "")
		go s.awaitRecovery(ctx)
	}
	return true
}

// awaitRecovery probes the engine until it is up again. It does not end before, not even
// when the context of MonitorEngine ends, because confirmDown detaches ctx from
// cancellation.
func (s *Server) awaitRecovery(ctx context.Context) {
	ticker := time.NewTicker(engineProbeInterval)
	defer ticker.Stop()
	for range ticker.C {
		if s.probeEngine(ctx) {
			s.recordEvent(EventUp, "")
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
	ctx, cancel := context.WithTimeout(ctx, engineProbeTimeout)
	defer cancel()
	for range engineProbeTries {
		_, err := s.Engine.Load(ctx)
		if errors.Is(err, foxtailstack.ErrEngineRefused) {
			return false
		}
		if !errors.Is(err, foxtailstack.ErrEngineLost) {
			return true
		}
		time.Sleep(engineProbeRetryDelay)
	}
	return false
}

// suspectSlot is the slot for attempts with Open.Suspect, which may crash the engine. Only
// one of them runs at a time, so that at most one suspect is running when the engine
// crashes. A request that crashes engines can then be told from requests that only ran
// at the same time. The zero value is free.
type suspectSlot struct {
	once sync.Once
	slot chan struct{}
}

// acquire waits until the slot is free and takes it, or returns an error if ctx ends.
func (s *suspectSlot) acquire(ctx context.Context) error {
	s.once.Do(func() { s.slot = make(chan struct{}, 1) })
	select {
	case s.slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// release frees the slot.
func (s *suspectSlot) release() {
	<-s.slot
}
