package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

const (
	// pauseSpreadDivisor and maxPauseSpread bound the random time by which an entry
	// prolongs a pause that an upstream asks for, to the pause divided by the former and
	// to the latter. Entries that were refused together do not all come back at once.
	pauseSpreadDivisor = 8
	maxPauseSpread     = 500 * time.Millisecond
)

// pausesTotal counts the pauses that upstreams asked for.
var pausesTotal = metrics.NewCounter("foxtailstack_dispatch_pauses_total")

// pause records that an upstream wants no requests for a time. A shorter pause than the
// present one changes nothing. The caller holds mu.
func (s *Scheduler) pause(u *route.Upstream, d time.Duration, now time.Time) {
	spread := min(d/pauseSpreadDivisor, maxPauseSpread)
	until := now.Add(d + rand.N(spread+1))
	state := s.upstream(u.Name)
	if until.Before(state.pausedUntil) {
		return
	}
	if !now.Before(state.pausedUntil) {
		pausesTotal.Inc()
		s.logger().Info("upstream paused",
			zap.String("service", string(u.Service)),
			zap.String("upstream", string(u.Name)),
			zap.Duration("pause", until.Sub(now)))
	}
	state.pausedUntil = until
	s.pausedUntil = maxTime(s.pausedUntil, until)
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// candidates returns a *NoUpstreamError if no ready upstream is allowed for the request, a
// *PausedError if all that are want no requests, and nil otherwise, whether one has room or
// not. If all that want requests name limits, it also returns what the request waits for.
// The caller holds mu.
func (s *Scheduler) candidates(request *Request, now time.Time) (limitedWait, error) {
	first := time.Time{}
	var limited limitedWait
	var none NoUpstreamError
	ready := s.Fleet().Ready(request.Service)
	for i := range ready {
		u := &ready[i]
		if !request.allows(u) {
			none.count(request, u)
			continue
		}
		state := s.upstream(u.Name)
		switch {
		case now.Before(state.pausedUntil):
			if first.IsZero() || state.pausedUntil.Before(first) {
				first = state.pausedUntil
			}
		case state.turns.limited(now):
			limited.add(state, now)
		default:
			return limitedWait{}, nil
		}
	}
	switch {
	case limited.rate > 0 && request.Grouped && !s.entriesKnown():
		return limitedWait{}, nil // the first status tells by how much sooner its turn comes
	case limited.rate > 0:
		return limited, nil
	case first.IsZero():
		return limitedWait{}, &none
	}
	return limitedWait{}, &PausedError{Wait: first.Sub(now)}
}

// waitError returns an error for a waiter that no upstream can take in its time, if that may
// have changed since it was enqueued, because upstreams have left, been evacuated, been
// paused or named limits. The caller holds mu.
func (s *Scheduler) waitError(w *waiter, now time.Time) error {
	unrestricted := len(w.request.Excluded) == 0 && len(w.request.Regions) == 0 && !s.Fleet().Evacuated()
	if unrestricted && !now.Before(s.pausedUntil) && len(s.limited) == 0 {
		return nil
	}
	limited, err := s.candidates(&w.request, now)
	if err != nil {
		return err
	}
	return limited.check(&w.request, now, limited.turn)
}
