package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"go.uber.org/zap"
)

// giveUp ends a request for which no attempt succeeded. If the caller has
// disconnected, it sends nothing and closes the connection. If a stream has begun, it aborts the connection.
// Otherwise it relays the last error response of an upstream if there is one, or
// else responds with a status that states whether the request may have run.
func (c *call) giveUp(ctx context.Context, err error) {
	c.logOverload(err)
	var refused *quarantine.RefusedError
	var paused *dispatch.PausedError
	var limited *dispatch.LimitedError
	var overload *dispatch.OverloadError
	switch {
	case c.callerSlow:
		slowCallersTotal.Inc()
		c.abort(reasonCallerSlow)
	case c.callerGone || c.r.Context().Err() != nil:
		gap, _ := c.stream.sinceLastEvent(time.Now())
		c.stream.longestGap = max(c.stream.longestGap, gap) // the gap may be why the caller disconnected
		c.abort(reasonCallerDisconnected)                   // the caller may have ended only its own side
	case c.stream.headerSent:
		c.abort(reasonStreamBroken)
	case c.lastFailure != nil:
		c.lastFailure.write(c)
		c.finish(c.lastFailure.status, reasonUpstreamFailure)
	case len(c.mayHaveRun) > 0 && (isStopping(ctx) || errors.Is(err, errStopping)):
		c.respondError(http.StatusBadGateway, reasonStopping)
	case isStopping(ctx), errors.Is(err, errStopping):
		c.respondUnavailable(reasonStopping, retryAfterElsewhere)
	case c.responseTooLong:
		c.respondError(http.StatusBadGateway, reasonTooLong)
	case len(c.mayHaveRun) > 0 && ctx.Err() != nil:
		c.respondError(http.StatusGatewayTimeout, reasonTimeout)
	case len(c.mayHaveRun) > 0:
		c.respondError(http.StatusBadGateway, reasonAllFailed)
	case errors.As(err, &refused):
		c.respondRefused(refused)
	case errors.As(err, &overload):
		c.respondUnavailable(reasonOverloaded, c.overloadRetryAfter(overload))
	case errors.As(err, &paused):
		c.respondUnavailable(reasonPaused, paused.Wait)
	case errors.As(err, &limited):
		c.respondLimited(limited)
	case errors.Is(err, dispatch.ErrNoUpstream):
		c.respondNoUpstream(err)
	case ctx.Err() != nil:
		c.respondUnavailable(reasonTimeout, retryAfterQueue)
	default:
		c.respondRefusedByUpstreams()
	}
}

// respondRefusedByUpstreams responds to a request that upstreams have refused or that could
// not reach them. Another entry may choose another upstream for one that is not idempotent,
// which this entry may not; others were tried at several upstreams.
func (c *call) respondRefusedByUpstreams() {
	retryAfter := retryAfterQueue
	if c.refusals > 0 && !c.idempotent() {
		retryAfter = spreadBefore(retryAfterRefused)
	}
	c.respondUnavailable(reasonNotRun, retryAfter)
}

// abort ends the request and closes the connection, so that the caller sees a truncated
// response. It does not return.
func (c *call) abort(reason endReason) {
	c.finish(0, reason)
	c.resetUnframed()
	panic(http.ErrAbortHandler)
}

// respondRefused responds to a request that the quarantine refused.
func (c *call) respondRefused(refused *quarantine.RefusedError) {
	c.gateway.Log.Info("request refused after crashes",
		zap.String("request", string(c.requestInfo.ID)),
		zap.Stringer("fingerprint", refused.Cause),
		zap.String("part", string(c.partOf(refused.Cause))),
		zap.Duration("retry", refused.RetryAfter))
	reason := reasonQuarantined
	if errors.Is(refused, quarantine.ErrTurn) {
		reason = reasonEqualRuns
	}
	c.respondUnavailable(reason, refused.RetryAfter)
}

// respondLimited responds to a request for which the limits of upstreams leave no room. The
// Retry-After is the time until this entry may send the next one, as long as the caller can
// wait for that.
func (c *call) respondLimited(limited *dispatch.LimitedError) {
	c.gateway.Log.Info("request beyond limits",
		zap.String("request", string(c.requestInfo.ID)),
		zap.Duration("wait", limited.Wait),
		zap.Duration("left", time.Until(c.deadline)))
	c.respondUnavailable(reasonLimited, spreadBefore(min(limited.Wait, c.latestRetryAfter())))
}

// overloadRetryAfter returns the Retry-After for a request that would not be served in
// time. It is at most the remaining time of the request divided by retryAfterDivisor, so
// that the retry can still be served, but never below retryAfterElsewhere.
//
// For a full queue the delay lets the queue shrink and is randomized against a thundering
// herd of retries. While a group is broken nobody knows for how long, and callers mostly
// come back but once: they are told to do so about as late as they can. A request that
// yields to more urgent ones is told to come back later than those would be, so that they
// find room first.
func (c *call) overloadRetryAfter(overload *dispatch.OverloadError) time.Duration {
	latest := c.latestRetryAfter()
	if overload.Broken {
		return spreadBefore(latest)
	}
	if overload.Yields {
		return max(latest-rand.N(latest/yieldSpreadDivisor+1), retryAfterElsewhere)
	}
	return min(retryAfterQueue+rand.N(retryAfterSpread), latest)
}

// latestRetryAfter returns the longest Retry-After with which the retry can still be served.
func (c *call) latestRetryAfter() time.Duration {
	return max(time.Until(c.deadline)/retryAfterDivisor, retryAfterElsewhere)
}

// spreadBefore returns a random time shortly before another, so that callers that are
// refused together do not come back together.
func spreadBefore(d time.Duration) time.Duration {
	return d - rand.N(d/retrySpreadDivisor+1)
}
