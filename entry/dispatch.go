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
	// maxRefusals is the number of refused attempts after which a request fails.
	maxRefusals = 8
	// immediateRetries is the number of refusals after which the next attempt
	// follows without a delay.
	immediateRetries = 2
	// minBackoff and maxBackoff bound the mean delay before another attempt.
	// If all attempts so far were refused, maxRefusalBackoff is the maximum.
	minBackoff        = 10 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	maxRefusalBackoff = 50 * time.Millisecond
	// maxBackoffSteps limits the number of doublings, so that the delay does
	// not overflow.
	maxBackoffSteps = 6
)

// Counters of attempts and retries.
var (
	attemptsTotal        = metrics.NewCounter("foxtailstack_entry_attempts_total")
	refusalsTotal        = metrics.NewCounter("foxtailstack_entry_refusals_total")
	retriesTotal         = metrics.NewCounter("foxtailstack_entry_retries_total")
	budgetExhaustedTotal = metrics.NewCounter("foxtailstack_entry_budget_exhausted_total")
)

// retrier makes the attempts of one request.
type retrier struct {
	server      *Server
	request     *request
	out         *response
	fingerprint Fingerprint
	// tried holds the upstreams of the attempts so far.
	tried []foxtailstack.UpstreamName
	// refusals counts the attempts that did not run, failures the other failed
	// attempts.
	refusals int
	failures int
}

// dispatch makes attempts until one is answered or no more are allowed.
func (s *Server) dispatch(ctx context.Context, req *request, out *response) error {
	if !req.policy.Idempotent {
		answered, err := s.answerFromRecord(ctx, req, out)
		if answered || err != nil {
			return err
		}
	}
	p := &retrier{
		server:      s,
		request:     req,
		out:         out,
		fingerprint: fingerprintOf(req),
	}
	return p.overallError(p.run(ctx))
}

// run makes the attempts and returns the error of the last one, or nil.
func (p *retrier) run(ctx context.Context) error {
	var lastErr error = unsentError("", 0, ErrNoUpstream)
	for {
		admission, err := p.server.quarantine.admit(ctx, p.fingerprint)
		if err != nil {
			return err
		}
		member, ok := p.server.Chooser.Choose(ctx, Query{
			Service: p.request.serviceID,
			Prompt:  p.request.body,
			Avoid:   append(slices.Clone(p.tried), admission.crashedUpstreams...),
		})
		if !ok {
			admission.release()
			return lastErr
		}
		triedBefore := slices.Contains(p.tried, member.ID.Upstream)
		lastErr = p.attempt(ctx, member, admission)
		admission.release()
		if lastErr == nil {
			return nil
		}
		wait, retry := p.retryDelay(ctx, lastErr, triedBefore)
		if !retry || clock.Sleep(ctx, wait) != nil {
			return lastErr
		}
	}
}

// attempt makes one attempt. It passes the result to the time line, the Chooser,
// the retry budget and the quarantine.
func (p *retrier) attempt(ctx context.Context, member fleet.Member, admission admission) error {
	s := p.server
	a := &attempt{
		id:        foxtailstack.NewAttemptID(),
		request:   p.request,
		member:    member,
		lastEvent: p.out.lastEvent,
		suspect:   admission.suspect,
		ring:      s.Ring,
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
		Text:     outcomeText(err),
	})
	s.Chooser.Report(member, resultOf(ctx, err, time.Since(began)))
	var attemptErr *AttemptError
	switch {
	case err == nil:
		s.retryBudgets.countSuccess(p.budgetKey())
		s.quarantine.clear(p.fingerprint)
	case errors.As(err, &attemptErr) && attemptErr.mayHaveCrashed():
		s.recordCrash(ctx, Crash{
			Fingerprint:    p.fingerprint,
			Attempt:        a.id,
			Upstream:       member.ID.Upstream,
			ConnectionLost: attemptErr.connectionLost(),
		})
	}
	if !p.request.policy.Idempotent {
		return s.resolveOutcome(ctx, p.request, p.out, err)
	}
	return err
}

// retryDelay counts a failed attempt and returns the delay before the next one, or
// false if err is final. triedBefore is set if an earlier attempt was made on the
// same upstream.
func (p *retrier) retryDelay(ctx context.Context, err error, triedBefore bool) (time.Duration, bool) {
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) {
		return 0, false
	}
	if attemptErr.Outcome != foxtailstack.NotRun {
		p.failures++
	} else {
		p.refusals++
		refusalsTotal.Inc()
	}
	if p.server.quarantine.quarantined(p.fingerprint) {
		return 0, true // the next attempt is not admitted and returns ErrQuarantined
	}
	if ctx.Err() != nil || p.isFinal(attemptErr, triedBefore) {
		return 0, false
	}
	wait := p.backoff()
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= wait {
		return 0, false
	}
	if attemptErr.Outcome == foxtailstack.NotRun {
		return wait, true
	}
	if !p.server.retryBudgets.allowRetry(p.budgetKey(), p.request.policy.Budget) {
		budgetExhaustedTotal.Inc()
		return 0, false
	}
	retriesTotal.Inc()
	return wait, true
}

// isFinal reports whether no attempt may follow one that failed with attemptErr.
func (p *retrier) isFinal(attemptErr *AttemptError, triedBefore bool) bool {
	switch {
	case errors.Is(attemptErr, booking.ErrUnavailable):
		return true
	case errors.Is(attemptErr, ErrCallerDisconnected), errors.Is(attemptErr, ErrAnswerTooLong):
		return true
	case p.out.started && !p.out.resumable():
		return true
	case attemptErr.Outcome != foxtailstack.NotRun:
		return !p.request.policy.Idempotent || p.failures >= p.request.maxAttempts()
	case attemptErr.Reason == upstream.ReasonExpired:
		return true
	case triedBefore && (attemptErr.Reason == upstream.ReasonDraining || attemptErr.Reason == upstream.ReasonDown):
		return true
	}
	return p.refusals >= maxRefusals
}

// backoff returns a random delay whose mean doubles with each failed attempt.
func (p *retrier) backoff() time.Duration {
	attempts := p.refusals + p.failures
	if p.failures == 0 && attempts <= immediateRetries {
		return 0
	}
	maxMean := maxBackoff
	if p.failures == 0 {
		maxMean = maxRefusalBackoff
	}
	mean := min(minBackoff<<min(attempts, maxBackoffSteps), maxMean)
	return rand.N(2 * mean)
}

// overallError returns err with the outcome of the whole request. If an earlier
// attempt may have run, the outcome is Unknown even if the last attempt was
// refused.
func (p *retrier) overallError(err error) error {
	var attemptErr *AttemptError
	if p.failures == 0 || !errors.As(err, &attemptErr) || attemptErr.Outcome != foxtailstack.NotRun {
		return err
	}
	uncertain := unknownError(attemptErr.Reason, attemptErr)
	uncertain.RetryAfter = attemptErr.RetryAfter
	return uncertain
}

// budgetKey returns the key of the retry budget of the request.
func (p *retrier) budgetKey() retryBudgetKey {
	return retryBudgetKey{
		team:    p.request.team,
		service: p.request.serviceID,
	}
}

// outcomeText returns the result of an attempt as text for the time line.
func outcomeText(err error) string {
	if err == nil {
		return foxtailstack.Ran.String()
	}
	return err.Error()
}
