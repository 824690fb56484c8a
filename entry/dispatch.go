package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	// maxRefusals bounds the refusals of one request by sidecars.
	maxRefusals = 8
	// freeRefusals is how many of them are followed by the next try at once.
	freeRefusals = 2
	// minBackoff and maxBackoff bound the mean time before another attempt, and
	// refusedBackoff that after refusals only.
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	refusedBackoff = 50 * time.Millisecond
	// maxBackoffSteps keeps the doubling within bounds.
	maxBackoffSteps = 6
)

// Counters of the attempts.
var (
	attemptsTotal = metrics.NewCounter("foxtailstack_entry_attempts_total")
	refusalsTotal = metrics.NewCounter("foxtailstack_entry_refusals_total")
	retriesTotal  = metrics.NewCounter("foxtailstack_entry_retries_total")
	exhaustsTotal = metrics.NewCounter("foxtailstack_entry_budget_exhausted_total")
)

// pursuit is the way of one request through its attempts.
type pursuit struct {
	server  *Server
	request *request
	out     *response
	key     Fingerprint
	tried   []foxtailstack.UpstreamName
	// refusals counts the attempts that did not run, failures the others.
	refusals int
	failures int
}

// dispatch makes attempts until one answers or no more are allowed.
func (s *Server) dispatch(ctx context.Context, req *request, out *response) error {
	if !req.policy.Idempotent {
		done, err := s.repeat(ctx, req, out)
		if done || err != nil {
			return err
		}
	}
	p := &pursuit{
		server:  s,
		request: req,
		out:     out,
		key:     fingerprintOf(req),
	}
	return p.settle(p.run(ctx))
}

// run makes the attempts and returns the error of the last one.
func (p *pursuit) run(ctx context.Context) error {
	var last error = unsent("", 0, ErrNoUpstream)
	for {
		pass, err := p.server.quarantine.admit(ctx, p.key)
		if err != nil {
			return err
		}
		member, ok := p.server.Chooser.Choose(ctx, Query{
			Service: p.request.id,
			Prompt:  p.request.body,
			Tried:   append(slices.Clone(p.tried), pass.crashed...),
		})
		if !ok {
			pass.leave()
			return last
		}
		known := slices.Contains(p.tried, member.ID.Upstream)
		last = p.attempt(ctx, member, pass)
		pass.leave()
		if last == nil {
			return nil
		}
		wait, again := p.next(ctx, last, known)
		if !again || clock.Sleep(ctx, wait) != nil {
			return last
		}
	}
}

// attempt makes one attempt and tells who has to know how it went.
func (p *pursuit) attempt(ctx context.Context, member fleet.Member, pass pass) error {
	s := p.server
	a := &attempt{
		id:      foxtailstack.NewAttemptID(),
		request: p.request,
		member:  member,
		resume:  p.out.last,
		suspect: pass.suspect,
		ring:    s.Ring,
	}
	p.tried = append(p.tried, member.ID.Upstream)
	attemptsTotal.Inc()
	s.Ring.Record(timeline.Event{
		Kind:     EventAttempt,
		Attempt:  a.id.String(),
		Upstream: member.ID.String(),
	})
	began := time.Now()
	err := a.run(ctx, s, p.out)
	s.Ring.Record(timeline.Event{
		Kind:     EventAnswer,
		Attempt:  a.id.String(),
		Upstream: member.ID.String(),
		Text:     textOf(err),
	})
	s.Chooser.Report(member, resultOf(ctx, err, time.Since(began)))
	var failed *AttemptError
	switch {
	case err == nil:
		s.budgets.success(p.budgetKey())
		s.quarantine.clear(p.key)
	case errors.As(err, &failed) && failed.crashed():
		s.crashed(ctx, Crash{
			Fingerprint:    p.key,
			Attempt:        a.id,
			Upstream:       member.ID.Upstream,
			ConnectionLost: failed.lost(),
		})
	}
	if !p.request.policy.Idempotent {
		return s.rejoin(ctx, p.request, p.out, err)
	}
	return err
}

// next returns the time before the next attempt, or false if err is final. The
// request has been refused by the same upstream before if known is set.
func (p *pursuit) next(ctx context.Context, err error, known bool) (time.Duration, bool) {
	var failed *AttemptError
	if !errors.As(err, &failed) {
		return 0, false
	}
	if failed.Outcome != foxtailstack.NotRun {
		p.failures++
	} else {
		p.refusals++
		refusalsTotal.Inc()
	}
	if p.server.quarantine.blocked(p.key) {
		return 0, true // to be refused
	}
	if ctx.Err() != nil || p.final(failed, known) {
		return 0, false
	}
	wait := p.backoff()
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= wait {
		return 0, false
	}
	if failed.Outcome == foxtailstack.NotRun {
		return wait, true
	}
	if !p.server.budgets.take(p.budgetKey(), p.request.policy.Budget) {
		exhaustsTotal.Inc()
		return 0, false
	}
	retriesTotal.Inc()
	return wait, true
}

// final reports whether no attempt may follow one that failed so.
func (p *pursuit) final(failed *AttemptError, known bool) bool {
	switch {
	case errors.Is(failed, booking.ErrUnavailable):
		return true
	case errors.Is(failed, ErrCallerDisconnected), errors.Is(failed, ErrAnswerTooLong):
		return true
	case p.out.begun && !p.out.resumable():
		return true
	case failed.Outcome != foxtailstack.NotRun:
		return !p.request.policy.Idempotent || p.failures >= p.request.attempts()
	case failed.Reason == upstream.ReasonExpired:
		return true
	case known && (failed.Reason == upstream.ReasonDraining || failed.Reason == upstream.ReasonDown):
		return true
	}
	return p.refusals >= maxRefusals
}

// backoff returns a random time that grows with the attempts before.
func (p *pursuit) backoff() time.Duration {
	n := p.refusals + p.failures
	if p.failures == 0 && n <= freeRefusals {
		return 0
	}
	longest := maxBackoff
	if p.failures == 0 {
		longest = refusedBackoff
	}
	mean := min(minBackoff<<min(n, maxBackoffSteps), longest)
	return rand.N(2 * mean)
}

// settle returns err with the outcome of the whole request: if one attempt may
// have run, the refusal of a later one does not change that.
func (p *pursuit) settle(err error) error {
	var failed *AttemptError
	if p.failures == 0 || !errors.As(err, &failed) || failed.Outcome != foxtailstack.NotRun {
		return err
	}
	settled := unknown(failed.Reason, failed)
	settled.Retry = failed.Retry
	return settled
}

// budgetKey returns whose budget the retries of the request spend.
func (p *pursuit) budgetKey() budgetKey {
	return budgetKey{
		team:    p.request.team,
		service: p.request.id,
	}
}

// textOf returns how an attempt ended, for the time line.
func textOf(err error) string {
	if err == nil {
		return foxtailstack.Ran.String()
	}
	return err.Error()
}
