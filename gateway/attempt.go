package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// attempt sends the request to the reserved upstream and relays its response. It ends
// the admission.
func (c *call) attempt(ctx context.Context, reservation *dispatch.Reservation, admission quarantine.Admission) attemptResult {
	defer admission.Release()
	began := time.Now()
	u := reservation.Upstream
	c.upstream = u.Name
	c.current = attemptLog{upstream: u}
	if c.sameProcess(u) {
		reservation.Release(dispatch.Report{}) // inconclusive
		return resultReadmit
	}
	conn, err := c.gateway.Pool.Get(ctx, u.Name, u.Address, c.requestInfo.ID)
	if err != nil {
		return c.unreachable(ctx, reservation, err)
	}
	if c.callerLeft() {
		c.callerGone = true
		c.gateway.Pool.PutUnused(u.Name, conn)
		reservation.Release(dispatch.Report{}) // inconclusive
		return resultGiveUp
	}
	if !c.maySend(ctx, u) {
		c.gateway.Pool.PutUnused(u.Name, conn)
		reservation.Release(dispatch.Report{}) // inconclusive
		return resultReadmit
	}
	if admission.Outdated.Err() != nil {
		return c.outdated(reservation, conn)
	}
	c.incoming = c.gateway.Incoming.Holding(string(u.Name))
	defer c.incoming.Release()
	c.buffered = c.gateway.answerHolding(u.Name)
	c.earlier = append(c.earlier, c.buffered)
	sending := attemptLog{
		upstream: u,
		number:   c.sendCount + 1,
	}
	lease := c.gateway.Pool.Lease(ctx, u.Name, conn, func(reset bool) { c.logAbandoned(sending, conn, reset) })
	defer lease.Close()
	c.tried[u.Name] = true
	c.addresses[u.Address] = true
	c.sentTo[u.Name] = true
	c.sendCount++
	sendsTotal.Inc()
	if c.stream.headerSent {
		resumesTotal.Inc()
	}
	c.answer = quarantine.Waiting
	c.trial = admission.Trial
	c.logTrial()
	c.setLeaveCheck(lease)
	in, err := lease.Send(c.outgoing(u), c.gateway.Codec)
	c.recordExchange(conn, in)
	if err != nil {
		lease.Abort()
		return c.failed(ctx, reservation, err)
	}
	c.gateway.Scheduler.ObserveLoad(u.Name, in.Load)
	reservation.Pause(in.RetryAfter)
	if !in.Misdirected {
		c.gateway.Scheduler.ObserveLimit(u, in.Limit)
		c.gateway.Scheduler.ObserveCold(u, in.ColdFor)
	}
	if in.Leaving {
		c.gateway.View.MarkLeaving(u)
	}
	if c.notRunBelieved(in) {
		return c.notRun(reservation, lease, in)
	}
	c.mayHaveRun[u.Name] = true
	c.answer = quarantine.Started
	c.logAnswer()
	return c.relay(ctx, reservation, lease, in, began)
}

// outgoing returns the request with the header for upstream u.
func (c *call) outgoing(u route.Upstream) exchange.OutgoingRequest {
	return exchange.OutgoingRequest{
		Method: c.r.Method,
		Target: c.r.RequestURI,
		Host:   c.r.Host,
		Header: c.gateway.Codec.RequestHeader(c.r.Header, exchange.Attempt{
			Upstream:     u.Name,
			Timeout:      time.Until(c.deadline),
			Team:         c.team,
			LastEventID:  c.receivedEvents(),
			HasLastEvent: c.requestInfo.HasLastEvent || c.stream.lastEventID > 0,
			Urgency:      c.cfg.UrgencyRank(c.urgency),
			Ranked:       c.cfg.Services[c.service].Ranked,
		}),
		Body:    c.body,
		ID:      c.requestInfo.ID,
		Holding: c.incoming,
		Skipped: c.logSkipped,
	}
}

// unreachable ends an attempt for which no connection could be made.
func (c *call) unreachable(ctx context.Context, reservation *dispatch.Reservation, err error) attemptResult {
	if ctx.Err() != nil {
		reservation.Release(dispatch.Report{}) // inconclusive
		return resultGiveUp
	}
	c.dialFailures++
	reservation.Release(dispatch.Report{Outcome: dispatch.Unreachable})
	c.logAttemptFailure("upstream unreachable", err)
	return resultRetry
}

// outdated ends an attempt that was not sent because a crash was recorded under the request
// while the connection was made.
func (c *call) outdated(reservation *dispatch.Reservation, conn *exchange.Conn) attemptResult {
	c.gateway.Pool.PutUnused(reservation.Upstream.Name, conn)
	reservation.Release(dispatch.Report{}) // inconclusive
	c.gateway.Log.Info("attempt not sent after a crash",
		zap.String("request", string(c.requestInfo.ID)),
		zap.String("upstream", string(reservation.Upstream.Name)))
	return resultReadmit
}

// failed ends an attempt that may have run but whose response was not relayed in
// full.
func (c *call) failed(ctx context.Context, reservation *dispatch.Reservation, err error) attemptResult {
	c.mayHaveRun[reservation.Upstream.Name] = true
	if isStopping(ctx) {
		reservation.Release(dispatch.Report{}) // inconclusive
		return resultGiveUp
	}
	c.checkCrash(ctx, reservation.Upstream, err)
	if c.r.Context().Err() != nil {
		reservation.Release(dispatch.Report{}) // inconclusive
		return resultGiveUp
	}
	if ctx.Err() != nil {
		reservation.Release(dispatch.Report{Outcome: dispatch.Failed})
		return resultGiveUp
	}
	c.logAttemptFailure("attempt failed", err)
	c.countBound(err)
	outcome := dispatch.Failed
	switch {
	case errors.Is(err, errStalled):
		outcome = dispatch.Stalled
		stalledLeavesTotal.Inc()
	case errors.Is(err, errSlowRank):
		outcome = dispatch.Inconclusive // the scheduler itself reported the rank slow
		slowLeavesTotal.Inc()
	}
	reservation.Release(dispatch.Report{Outcome: outcome})
	return resultRetry
}

// notRun ends an attempt that the upstream refused without running it.
func (c *call) notRun(reservation *dispatch.Reservation, lease *exchange.Lease, in *exchange.IncomingResponse) attemptResult {
	err := in.Discard()
	if err != nil {
		lease.Close()
	} else {
		lease.Finish(in)
	}
	outcome := dispatch.Refused
	switch {
	case in.Misdirected: // it names itself as the culprit
		outcome = dispatch.Misdirected
		delete(c.sentTo, reservation.Upstream.Name) // sent to a different upstream
		c.refusals++
	case in.Culprit != "":
		outcome = dispatch.GroupBroken
	default:
		c.refusals++
	}
	reservation.Release(dispatch.Report{
		Outcome: outcome,
		Culprit: in.Culprit,
	})
	c.logRefusal(err)
	return resultRetry
}
