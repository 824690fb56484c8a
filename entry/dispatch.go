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
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	// maxRefusals is the number of attempts that did not run after which a
	// request fails.
	maxRefusals = 8
	// immediateRetries is the number of first attempts that did not run, each of
	// which is followed by the next attempt at once.
	immediateRetries = 2
	// The mean delay before another attempt is minBackoff, doubled for each
	// attempt so far, at most maxBackoff. It is thus at least 2*minBackoff. If
	// certainly none of the attempts has run, maxRefusalBackoff is the maximum.
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
	fingerprint quarantine.Fingerprint
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
	r := &retrier{
		server:      s,
		request:     req,
		out:         out,
		fingerprint: fingerprintOf(req),
	}
	return r.overallError(r.run(ctx))
}

// run makes the attempts. It returns the error of the last one or of the quarantine,
// or nil.
func (r *retrier) run(ctx context.Context) error {
	var lastErr error = unsentError("", 0, ErrNoUpstream)
	for {
		admission, err := r.admit(ctx)
		if err != nil {
			return err
		}
		member, ok := r.server.Chooser.Choose(ctx, Query{
			Service: r.request.serviceID,
			Prompt:  r.request.body,
			Avoid:   append(slices.Clone(r.tried), admission.Crashed...),
		})
		if !ok {
			admission.Release()
			return lastErr
		}
		triedBefore := slices.Contains(r.tried, member.ID.Upstream)
		lastErr = r.attempt(ctx, member, admission)
		admission.Release()
		if lastErr == nil {
			return nil
		}
		wait, retry := r.retryDelay(ctx, lastErr, triedBefore)
		if !retry || clock.Sleep(ctx, wait) != nil {
			return lastErr
		}
	}
}

// admit returns the admission of one attempt. The error, if any, is an *AttemptError
// that wraps ErrQuarantined or ErrNoUpstream.
func (r *retrier) admit(ctx context.Context) (quarantine.Admission, error) {
	admission, err := r.server.quarantine.Admit(ctx, r.subject())
	var refused *quarantine.RefusedError
	switch {
	case !errors.As(err, &refused):
		return admission, err
	case errors.Is(refused, quarantine.ErrQuarantined):
		return admission, unsentError(upstream.ReasonQuarantined, refused.RetryAfter, ErrQuarantined)
	}
	return admission, unsentError(upstream.ReasonQuarantined, refused.RetryAfter, ErrNoUpstream)
}

// subject returns what the quarantine knows the request by.
func (r *retrier) subject() quarantine.Subject {
	return quarantine.Subject{Request: r.fingerprint}
}

// fingerprintOf returns the fingerprint of a request: that of its service and body.
func fingerprintOf(req *request) quarantine.Fingerprint {
	return quarantine.FingerprintOf([]byte(req.serviceID.String()), req.body)
}

// attempt makes one attempt. It passes the result to the time line, the Chooser,
// the retry budget and the quarantine. For a non-idempotent request the returned
// error is that of the booking (see resolveOutcome), and nil if the booking record
// has an answer.
func (r *retrier) attempt(ctx context.Context, member fleet.Member, admission quarantine.Admission) error {
	s := r.server
	a := &attempt{
		id:        foxtailstack.NewAttemptID(),
		request:   r.request,
		member:    member,
		lastEvent: r.out.lastEvent,
		suspect:   admission.Suspect,
		ring:      s.Ring,
	}
	r.tried = append(r.tried, member.ID.Upstream)
	attemptsTotal.Inc()
	s.Ring.Record(timeline.Event{
		Kind:     EventAttempt,
		Attempt:  a.id.String(),
		Upstream: member.ID.String(),
	})
	began := time.Now()
	err := a.run(ctx, s, r.out)
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
		s.retryBudgets.countSuccess(r.budgetKey())
		if quarantine.Survived(r.out.status) {
			s.quarantine.Served(r.subject())
		}
	case errors.As(err, &attemptErr) && attemptErr.mayHaveCrashed():
		s.recordCrash(ctx, Crash{
			Fingerprint:    r.fingerprint,
			Attempt:        a.id,
			Upstream:       member.ID.Upstream,
			ConnectionLost: attemptErr.connectionLost(),
		})
	}
	if !r.request.policy.Idempotent {
		return s.resolveOutcome(ctx, r.request, r.out, err)
	}
	return err
}

// retryDelay counts a failed attempt and returns the delay before the next one, or
// false if err is final. If the failed attempt may have run, retryDelay takes the
// next one from the retry budget. triedBefore is set if an earlier attempt was made
// on the same upstream.
func (r *retrier) retryDelay(ctx context.Context, err error, triedBefore bool) (time.Duration, bool) {
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) {
		return 0, false
	}
	if attemptErr.Outcome != foxtailstack.NotRun {
		r.failures++
	} else {
		r.refusals++
		refusalsTotal.Inc()
	}
	if r.server.quarantine.Quarantined(r.fingerprint) {
		return 0, true // the next attempt is not admitted and returns ErrQuarantined
	}
	if ctx.Err() != nil || r.isFinal(attemptErr, triedBefore) {
		return 0, false
	}
	wait := r.backoff()
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= wait {
		return 0, false
	}
	if attemptErr.Outcome == foxtailstack.NotRun {
		return wait, true
	}
	if !r.server.retryBudgets.allowRetry(r.budgetKey(), r.request.policy.Budget) {
		budgetExhaustedTotal.Inc()
		return 0, false
	}
	retriesTotal.Inc()
	return wait, true
}

// isFinal reports whether no attempt may follow one that failed with attemptErr.
func (r *retrier) isFinal(attemptErr *AttemptError, triedBefore bool) bool {
	switch {
	case errors.Is(attemptErr, booking.ErrUnavailable):
		return true // the next attempt needs the booking record too
	case errors.Is(attemptErr, ErrCallerDisconnected), errors.Is(attemptErr, ErrAnswerTooLong):
		return true // nobody receives the next answer, or it is as long
	case r.out.started && !r.out.resumable():
		return true // the next attempt cannot continue the answer
	case attemptErr.Outcome != foxtailstack.NotRun:
		return !r.request.policy.Idempotent || r.failures >= r.request.maxAttempts()
	case attemptErr.Reason == upstream.ReasonExpired:
		return true // the time of the request is over
	case triedBefore && (attemptErr.Reason == upstream.ReasonDraining || attemptErr.Reason == upstream.ReasonDown):
		return true // the Chooser has no other upstream, and this one is still unusable
	}
	return r.refusals >= maxRefusals
}

// backoff returns a random delay whose mean doubles with each failed attempt. The
// delay is zero for the first immediateRetries attempts if certainly none has run.
func (r *retrier) backoff() time.Duration {
	attempts := r.refusals + r.failures
	if r.failures == 0 && attempts <= immediateRetries {
		return 0
	}
	maxMean := maxBackoff
	if r.failures == 0 {
		maxMean = maxRefusalBackoff
	}
	mean := min(minBackoff<<min(attempts, maxBackoffSteps), maxMean)
	return rand.N(2 * mean)
}

// overallError returns err with the outcome of the whole request. If an earlier
// attempt may have run, the outcome is Unknown even if the last attempt did not
// run.
func (r *retrier) overallError(err error) error {
	var attemptErr *AttemptError
	if r.failures == 0 || !errors.As(err, &attemptErr) || attemptErr.Outcome != foxtailstack.NotRun {
		return err
	}
	uncertain := unknownError(attemptErr.Reason, attemptErr)
	uncertain.RetryAfter = attemptErr.RetryAfter
	return uncertain
}

// budgetKey returns the key of the retry budget of the request.
func (r *retrier) budgetKey() retryBudgetKey {
	return retryBudgetKey{
		team:    r.request.team,
		service: r.request.serviceID,
	}
}

// outcomeText returns the result of an attempt as text for the time line.
func outcomeText(err error) string {
	if err == nil {
		return foxtailstack.Ran.String()
	}
	return err.Error()
}
