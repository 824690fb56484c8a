package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// logger returns where lines go.
func (b *Scheduler) logger() *zap.Logger {
	if b.Log == nil {
		return zap.NewNop()
	}
	return b.Log
}

// setSilent records until when a rank counts as silent, by a status of some age. The
// caller holds mu.
func (b *Scheduler) setSilent(u *route.Upstream, until time.Time, age time.Duration) {
	p := b.peer(u.Name)
	switch {
	case p.silent.IsZero() && !until.IsZero():
		b.logger().Info("rank silent", rankFields(u, p, age)...)
	case !p.silent.IsZero() && until.IsZero():
		b.logger().Info("rank answers again", rankFields(u, p, age)...)
	}
	p.silent = until
}

// setSlow records until when a rank counts as slow, by a status of some age. The
// caller holds mu.
func (b *Scheduler) setSlow(u *route.Upstream, until time.Time, age time.Duration) {
	p := b.peer(u.Name)
	switch {
	case p.slow.IsZero() && !until.IsZero():
		b.logger().Info("rank slow", rankFields(u, p, age)...)
	case !p.slow.IsZero() && until.IsZero():
		b.logger().Info("rank no longer slow", rankFields(u, p, age)...)
	}
	p.slow = until
}

// rankFields are the fields of a line on a rank that a status of some age told of.
func rankFields(u *route.Upstream, p *peer, age time.Duration) []zap.Field {
	return []zap.Field{
		zap.String("service", string(u.Service)),
		zap.String("group", string(p.group)),
		zap.String("upstream", string(u.Name)),
		zap.Float64("pace", p.pace),
		zap.Duration("age", age),
	}
}

// broken logs that the group does not work, if that is news. The caller holds the
// board's mu.
func (t *Reservation) broken(culprit foxtailstack.UpstreamName) {
	if t.gate.broken {
		return
	}
	t.board.logger().Info("group broken",
		zap.String("service", string(t.service)),
		zap.String("group", string(t.board.peer(t.Upstream.Name).group)),
		zap.String("upstream", string(t.Upstream.Name)),
		zap.String("culprit", string(culprit)))
}

// ended tells the gate how a request went. The caller holds the board's mu.
func (t *Reservation) ended(outcome Outcome, now time.Time) {
	was := t.gate.broken
	t.gate.ended(t.probe, outcome, now)
	if was && !t.gate.broken {
		t.board.logger().Info("group works again",
			zap.String("service", string(t.service)),
			zap.String("group", string(t.board.peer(t.Upstream.Name).group)),
			zap.String("upstream", string(t.Upstream.Name)))
	}
}
