package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// logger returns Log, or a logger that discards everything if Log is nil.
func (s *Scheduler) logger() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}

// setSilent sets the time until which a rank counts as silent, zero if it answers,
// and logs a change. age is the age of the status that shows the change, or zero if
// there is none. The caller holds mu.
func (s *Scheduler) setSilent(u *route.Upstream, until time.Time, age time.Duration) {
	state := s.upstream(u.Name)
	switch {
	case state.silentUntil.IsZero() && !until.IsZero():
		s.logger().Info("rank silent", rankFields(u, state, age)...)
	case !state.silentUntil.IsZero() && until.IsZero():
		s.logger().Info("rank answers again", rankFields(u, state, age)...)
	}
	state.silentUntil = until
}

// setSlow sets the time until which a rank counts as slow, zero if it does not, and
// logs a change. age is the age of the status that shows the change. The caller holds
// mu.
func (s *Scheduler) setSlow(u *route.Upstream, until time.Time, age time.Duration) {
	state := s.upstream(u.Name)
	switch {
	case state.slowUntil.IsZero() && !until.IsZero():
		s.logger().Info("rank slow", rankFields(u, state, age)...)
	case !state.slowUntil.IsZero() && until.IsZero():
		s.logger().Info("rank no longer slow", rankFields(u, state, age)...)
	}
	state.slowUntil = until
}

// rankFields returns the log fields of a rank. age is the age of the status that shows
// the change, or zero if there is none.
func rankFields(u *route.Upstream, state *upstreamState, age time.Duration) []zap.Field {
	return []zap.Field{
		zap.String("service", string(u.Service)),
		zap.String("group", string(state.group)),
		zap.String("upstream", string(u.Name)),
		zap.Float64("pace", state.slowdown),
		zap.Duration("age", age),
	}
}

// logEjected logs that the upstream is ejected after failures in a row, if it is.
func (r *Reservation) logEjected(failures int, d time.Duration) {
	if d <= 0 {
		return
	}
	r.scheduler.logger().Info("upstream ejected after failures",
		zap.String("service", string(r.service)),
		zap.String("upstream", string(r.Upstream.Name)),
		zap.Int("failures", failures),
		zap.Duration("for", d))
}

// logGroupBroken logs that the group does not work, unless its circuit breaker is
// open already. The caller holds the scheduler's mu.
func (r *Reservation) logGroupBroken(culprit foxtailstack.UpstreamName) {
	if r.breaker.open {
		return
	}
	r.scheduler.logger().Info("group broken",
		zap.String("service", string(r.service)),
		zap.String("group", string(r.scheduler.upstream(r.Upstream.Name).group)),
		zap.String("upstream", string(r.Upstream.Name)),
		zap.String("culprit", string(culprit)))
}

// recordProbe passes the outcome of the request to the circuit breaker of its group
// and logs if that closes. The caller holds the scheduler's mu.
func (r *Reservation) recordProbe(outcome Outcome, now time.Time) {
	wasOpen := r.breaker.open
	r.breaker.recordProbe(r.probe, outcome, now)
	if wasOpen && !r.breaker.open {
		r.scheduler.logger().Info("group works again",
			zap.String("service", string(r.service)),
			zap.String("group", string(r.scheduler.upstream(r.Upstream.Name).group)),
			zap.String("upstream", string(r.Upstream.Name)))
	}
}
