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

// candidateError returns ErrNoUpstream if no ready upstream is allowed for the request, a
// *PausedError if all that are want no requests, and nil otherwise, whether one has room or
// not. The caller holds mu.
func (s *Scheduler) candidateError(request *Request, now time.Time) error {
	first := time.Time{}
	for _, u := range s.Fleet().Ready(request.Service) {
		if !request.allows(u.Name) {
			continue
		}
		until := s.upstream(u.Name).pausedUntil
		if !now.Before(until) {
			return nil
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return ErrNoUpstream
	}
	return &PausedError{Wait: first.Sub(now)}
}

// waitError returns the candidateError of a waiter if that may have changed since it was
// enqueued, because upstreams have left or been paused. The caller holds mu.
func (s *Scheduler) waitError(w *waiter, now time.Time) error {
	if len(w.request.Excluded) == 0 && !now.Before(s.pausedUntil) {
		return nil
	}
	return s.candidateError(&w.request, now)
}
