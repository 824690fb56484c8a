package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// attempt sends the request to one upstream.
func (c *call) attempt(ctx context.Context, ticket *dispatch.Reservation) verdict {
	began := time.Now()
	u := ticket.Upstream
	c.upstream = u.Name
	conn, err := c.gateway.Pool.Get(ctx, u.Name, u.Address)
	if err != nil {
		return c.unreachable(ctx, ticket, err)
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	c.sent[u.Name] = true
	c.sends++
	sendsTotal.Inc()
	if c.stream.begun {
		resumesTotal.Inc()
	}
	c.watch(conn)
	in, err := conn.Send(c.outgoing(u), c.gateway.Codec)
	if err != nil {
		conn.Abort()
		return c.failed(ctx, ticket, err)
	}
	c.gateway.Scheduler.ObserveLoad(u.Name, in.Load)
	if in.NotRun {
		return c.notRun(ticket, conn, in)
	}
	c.ran[u.Name] = true
	return c.relay(ctx, ticket, conn, in, began)
}

// outgoing returns the request as an upstream gets it.
func (c *call) outgoing(u route.Upstream) exchange.OutgoingRequest {
	return exchange.OutgoingRequest{
		Method: c.r.Method,
		Target: c.r.RequestURI,
		Host:   c.r.Host,
		Header: c.gateway.Codec.RequestHeader(c.r.Header, exchange.Attempt{
			Upstream:     u.Name,
			Timeout:      time.Until(c.ends),
			Team:         c.team,
			LastEventID:  max(c.stream.lastEvent, c.request.LastEventID),
			HasLastEvent: c.request.HasLastEvent || c.stream.lastEvent > 0,
		}),
		Body: c.body,
		ID:   c.request.ID,
	}
}

// unreachable ends an attempt that found no connection.
func (c *call) unreachable(ctx context.Context, ticket *dispatch.Reservation, err error) verdict {
	if ctx.Err() != nil {
		ticket.Release(dispatch.Report{})
		return gone
	}
	c.dials++
	ticket.Release(dispatch.Report{Outcome: dispatch.Unreachable})
	c.logAttempt("upstream unreachable", err)
	return again
}

// failed ends an attempt that may have run without an answer.
func (c *call) failed(ctx context.Context, ticket *dispatch.Reservation, err error) verdict {
	c.ran[ticket.Upstream.Name] = true
	if c.r.Context().Err() != nil {
		ticket.Release(dispatch.Report{})
		return gone
	}
	if ctx.Err() != nil {
		ticket.Release(dispatch.Report{Outcome: dispatch.Failed})
		return gone
	}
	c.logAttempt("attempt failed", err)
	outcome := dispatch.Failed
	switch {
	case errors.Is(err, errStill):
		outcome = dispatch.Stalled
		stillTotal.Inc()
	case errors.Is(err, errSlow):
		outcome = dispatch.Inconclusive
		slowTotal.Inc()
	}
	ticket.Release(dispatch.Report{Outcome: outcome})
	return again
}

// notRun ends an attempt that the upstream refused.
func (c *call) notRun(ticket *dispatch.Reservation, conn *exchange.Conn, in *exchange.IncomingResponse) verdict {
	err := in.Discard()
	if err != nil {
		conn.Close()
	} else {
		in.Finish(c.gateway.Pool, ticket.Upstream.Name, conn)
	}
	outcome := dispatch.Refused
	switch {
	case in.Culprit != "":
		outcome = dispatch.GroupBroken
	case in.Misdirected:
		outcome = dispatch.Moved
		delete(c.sent, ticket.Upstream.Name) // it went to another one
		c.refusals++
	default:
		c.refusals++
	}
	ticket.Release(dispatch.Report{
		Outcome: outcome,
		Culprit: in.Culprit,
	})
	c.gateway.Log.Info("attempt refused",
		zap.String("request", string(c.request.ID)),
		zap.String("upstream", string(ticket.Upstream.Name)),
		zap.Int("status", in.Status),
		zap.String("culprit", string(in.Culprit)))
	return again
}
