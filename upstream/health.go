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
	// probeTries is how often a probe tries a connection that is lost, and
	// probePause the time between two tries.
	probeTries = 3
	probePause = 10 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
)

// health is whether the engine takes connections. The zero value says that it
// does.
type health struct {
	down atomic.Bool
}

// suspectDown probes the engine after an attempt lost it and reports whether it
// is down.
func (s *Server) suspectDown(ctx context.Context) bool {
	if s.health.down.Load() {
		return true
	}
	ctx = context.WithoutCancel(ctx)
	if s.probe(ctx) {
		return false
	}
	if !s.health.down.Swap(true) {
		s.record(EventDown, "")
		go s.awaitUp(ctx)
	}
	return true
}

// awaitUp probes the engine until it takes connections again.
func (s *Server) awaitUp(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for range ticker.C {
		if s.probe(ctx) {
			s.record(EventUp, "")
			s.health.down.Store(false)
			return
		}
	}
}

// MonitorEngine probes the engine until ctx ends, so that one that dies without work is
// known before the next attempt.
func (s *Server) MonitorEngine(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		s.suspectDown(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe reports whether the engine answers. One that answers with an error, or
// late, does. A dying engine may still take a connection before it refuses them,
// so that a lost connection is tried again.
func (s *Server) probe(ctx context.Context) bool {
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
		time.Sleep(probePause)
	}
	return false
}

// lane lets one attempt at a time run that may crash the engine, so that a
// crash can be told from the misfortune of the others. The zero value is free.
type lane struct {
	once sync.Once
	slot chan struct{}
}

// enter waits until the lane is free or ctx ends.
func (l *lane) enter(ctx context.Context) error {
	l.once.Do(func() { l.slot = make(chan struct{}, 1) })
	select {
	case l.slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// leave frees the lane.
func (l *lane) leave() {
	<-l.slot
}
