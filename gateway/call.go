package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

const (
	// maxWhole is the length of the longest answer that is read before it is
	// relayed, in bytes.
	maxWhole = 16 << 20
	// maxRefusals is the number of upstreams that may refuse a request before the
	// caller is told to come back.
	maxRefusals = 2
	// firstEventTime is the usual time from the sending of a request to the first
	// event of its stream.
	firstEventTime = 180 * time.Millisecond
	// firstEventPasses is the number of passes until the first event.
	firstEventPasses = 2
	// leastPass is the time that a pass takes at the least.
	leastPass = 40 * time.Millisecond
	// hintTrust is the part of the caller's guess of the length of an answer that
	// is planned with, since guesses are often too high.
	hintTrust = 0.7
	// maxDials is the number of times that a request looks for another upstream
	// because it could not reach one.
	maxDials = 4
)

// call is one request of a caller on its way.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	cfg     *route.Config
	route   *route.Route
	request exchange.Request
	team    foxtailstack.TeamName
	urgency int
	body    []byte
	arrived time.Time
	ends    time.Time
	service foxtailstack.ServiceName

	// sent are the upstreams that the request was written to; ran are those of
	// them that may have run it.
	sent  map[foxtailstack.UpstreamName]bool
	ran   map[foxtailstack.UpstreamName]bool
	sends int
	dials int
	// refusals counts the upstreams that were full or had moved.
	refusals int
	// last is the last failure that an upstream answered with, to be relayed if
	// nothing better comes.
	last *whole
	// stream is the state of a stream whose answer has begun.
	stream stream
	// needs is the least time in which the request can be served.
	needs time.Duration
	// waited is the time spent waiting for upstreams.
	waited time.Duration
	// first is the time until the first bytes of the answer.
	first time.Duration
	// upstream is the last one tried.
	upstream foxtailstack.UpstreamName
}

// verdict says how to go on after one attempt.
type verdict uint8

const (
	// done means that the caller has its answer.
	done verdict = iota
	// again means that another attempt may be made.
	again
	// gone means that the caller has left or the time is over.
	gone
)

// run sends the request to upstreams until one answers or nothing is left to try.
func (c *call) run() {
	c.sent = make(map[foxtailstack.UpstreamName]bool)
	c.ran = make(map[foxtailstack.UpstreamName]bool)
	c.service = c.route.Pick()
	c.gateway.Budget.Request(c.service)
	left := c.timeLeft()
	c.ends = c.arrived.Add(left)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.ends.Add(answerMargin))
	defer cancel()
	for {
		ticket, err := c.acquire(ctx)
		if err != nil {
			c.giveUp(ctx, err)
			return
		}
		switch c.attempt(ctx, ticket) {
		case done:
			return
		case gone:
			c.giveUp(ctx, dispatch.ErrGaveUp)
			return
		case again:
		}
		if !c.mayRetry() {
			c.giveUp(ctx, errNoRetry)
			return
		}
	}
}

// errNoRetry means that no further attempt is allowed.
var errNoRetry = errors.New("no further attempt is allowed")

// timeLeft returns the time that the request has in all.
func (c *call) timeLeft() time.Duration {
	left := c.request.Deadline
	if left == 0 || c.route.Timeout > 0 && c.route.Timeout < left {
		left = c.route.Timeout
	}
	if left == 0 {
		left = defaultDeadline
	}
	return left
}

// acquire waits for an upstream.
func (c *call) acquire(ctx context.Context) (*dispatch.Ticket, error) {
	ask := dispatch.Ask{
		Service: c.service,
		Grouped: c.cfg.Services[c.service].Group != nil,
		Urgency: c.urgency,
		Avoid:   c.ran,
		Ends:    c.ends,
	}
	if shape := c.cfg.Services[c.service].Group; shape != nil {
		c.estimate(&ask, shape)
	}
	if len(c.sent) >= c.route.MaxAttempts {
		ask.Only = c.sent
	}
	began := time.Now()
	ticket, err := c.gateway.Board.Acquire(ctx, ask)
	c.waited += time.Since(began)
	return ticket, err
}

// estimate sets the times of a request to a group. An event of a stream takes a
// pass; a stream whose events come too far apart is late whenever it begins.
func (c *call) estimate(ask *dispatch.Ask, shape *route.Group) {
	pass := c.gateway.Board.Pass(c.service)
	ask.Fresh = c.arrived.Add(c.route.Objective - firstEventTime)
	if c.route.MaxGap > 0 && pass > c.route.MaxGap {
		ask.Fresh = c.arrived
	}
	tokens := c.request.Hint
	if tokens == 0 || c.request.Output > 0 && tokens > c.request.Output {
		tokens = c.request.Output
	}
	ask.First = max(firstEventTime, firstEventPasses*pass)
	if c.route.Kind == route.Stream && !c.stream.begun {
		ask.Begins = c.arrived.Add(c.route.Patience())
	}
	events := int64(tokens) / int64(max(shape.Stride, 1))
	ask.Needs = ask.First + time.Duration(hintTrust*float64(events))*max(pass, leastPass)
	c.needs = ask.Needs
}

// mayRetry reports whether the request may be sent once more.
func (c *call) mayRetry() bool {
	if len(c.ran) > 0 && (!c.route.Idempotent() || len(c.ran) >= c.route.MaxAttempts) {
		return false
	}
	if c.dials > maxDials || c.refusals > maxRefusals {
		return false
	}
	if c.sends == 0 {
		return true
	}
	allowed := c.gateway.Budget.Retry(c.service)
	if !allowed {
		noRetryTotal.Inc()
	}
	return allowed
}

// attempt sends the request to one upstream.
func (c *call) attempt(ctx context.Context, ticket *dispatch.Ticket) verdict {
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
	in, err := conn.Send(c.outgoing(u), c.gateway.Codec)
	if err != nil {
		conn.Abort()
		return c.failed(ctx, ticket, err)
	}
	c.gateway.Board.Tell(u.Name, in.Load)
	if in.NotRun {
		return c.notRun(ticket, conn, in)
	}
	c.ran[u.Name] = true
	return c.relay(ctx, ticket, conn, in, began)
}

// outgoing returns the request as an upstream gets it.
func (c *call) outgoing(u route.Upstream) exchange.Outgoing {
	return exchange.Outgoing{
		Method: c.r.Method,
		Target: c.r.RequestURI,
		Host:   c.r.Host,
		Header: c.gateway.Codec.Attempt(c.r.Header, exchange.Attempt{
			Upstream:  u.Name,
			Left:      time.Until(c.ends),
			Team:      c.team,
			LastEvent: max(c.stream.lastEvent, c.request.LastEvent),
			Resumes:   c.request.Resumes || c.stream.lastEvent > 0,
		}),
		Body: c.body,
		ID:   c.request.ID,
	}
}

// unreachable ends an attempt that found no connection.
func (c *call) unreachable(ctx context.Context, ticket *dispatch.Ticket, err error) verdict {
	if ctx.Err() != nil {
		ticket.Done(dispatch.Report{})
		return gone
	}
	c.dials++
	ticket.Done(dispatch.Report{Outcome: dispatch.Unreachable})
	c.logAttempt("upstream unreachable", err)
	return again
}

// failed ends an attempt that may have run without an answer.
func (c *call) failed(ctx context.Context, ticket *dispatch.Ticket, err error) verdict {
	c.ran[ticket.Upstream.Name] = true
	if c.r.Context().Err() != nil {
		ticket.Done(dispatch.Report{})
		return gone
	}
	if ctx.Err() != nil {
		ticket.Done(dispatch.Report{Outcome: dispatch.Failed})
		return gone
	}
	c.logAttempt("attempt failed", err)
	ticket.Done(dispatch.Report{Outcome: dispatch.Failed})
	return again
}

// notRun ends an attempt that the upstream refused.
func (c *call) notRun(ticket *dispatch.Ticket, conn *exchange.Conn, in *exchange.Incoming) verdict {
	err := in.Discard()
	if err != nil {
		conn.Close()
	} else {
		in.Finish(c.gateway.Pool, ticket.Upstream.Name, conn)
	}
	outcome := dispatch.Refused
	switch {
	case in.Culprit != "":
		outcome = dispatch.Broken
	case in.Elsewhere:
		outcome = dispatch.Moved
		delete(c.sent, ticket.Upstream.Name) // it went to another one
		c.refusals++
	default:
		c.refusals++
	}
	ticket.Done(dispatch.Report{Outcome: outcome})
	c.gateway.Log.Info("attempt refused",
		zap.String("request", string(c.request.ID)),
		zap.String("upstream", string(ticket.Upstream.Name)),
		zap.Int("status", in.Status),
		zap.String("culprit", string(in.Culprit)))
	return again
}

// giveUp answers a request that no upstream has answered.
func (c *call) giveUp(ctx context.Context, err error) {
	switch {
	case c.r.Context().Err() != nil:
		idle, _ := c.stream.idle(time.Now())
		c.stream.gap = max(c.stream.gap, idle) // the caller may have left because of it
		c.finish(0, reasonLeft)
	case c.stream.begun:
		c.finish(0, reasonBroken)
		panic(http.ErrAbortHandler) // closes the connection, so that the answer is seen to be cut
	case c.last != nil:
		c.last.write(c)
		c.finish(c.last.status, reasonUpstream)
	case len(c.ran) > 0 && ctx.Err() != nil:
		c.deny(http.StatusGatewayTimeout, reasonTimeout)
	case len(c.ran) > 0:
		c.deny(http.StatusBadGateway, reasonFailed)
	case errors.Is(err, dispatch.ErrCrowded):
		c.logCrowded(err)
		c.refuse(reasonCrowded, c.crowdedReturn())
	case errors.Is(err, dispatch.ErrNoUpstream):
		c.refuse(reasonNoServer, farReturn)
	case ctx.Err() != nil:
		c.refuse(reasonTimeout, soonReturn)
	default:
		c.refuse(reasonFull, soonReturn)
	}
}

// crowdedReturn returns when a caller should come back to a queue that is too
// long: once that has had time to shrink, spread so that not all come at once,
// and while there is time left to be served.
func (c *call) crowdedReturn() time.Duration {
	after := soonReturn + rand.N(spreadReturn)
	return min(after, max(time.Until(c.ends)/leastParts, nearReturn))
}

// logCrowded logs what decided that the request cannot be served in time.
func (c *call) logCrowded(err error) {
	var crowded *dispatch.CrowdedError
	if !errors.As(err, &crowded) {
		return
	}
	c.gateway.Log.Info("request cannot be served in time",
		zap.String("request", string(c.request.ID)),
		zap.Int("queued", crowded.Queued),
		zap.Duration("wait", crowded.Wait),
		zap.Duration("pass", crowded.Pass),
		zap.Duration("needs", c.needs),
		zap.Duration("left", time.Until(c.ends)))
}

// logAttempt logs how an attempt failed.
func (c *call) logAttempt(message string, err error) {
	c.gateway.Log.Info(message,
		zap.String("request", string(c.request.ID)),
		zap.String("upstream", string(c.upstream)),
		zap.Int64("event", c.stream.lastEvent),
		zap.Error(err))
}

// finish logs the end of a request.
func (c *call) finish(status int, why reason) {
	countRequest(status, why, c.first, time.Since(c.arrived))
	waitSeconds.Update(c.waited.Seconds())
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	config := uint64(0)
	if c.cfg != nil {
		config = uint64(c.cfg.Version)
	}
	c.gateway.Log.Info("request",
		zap.String("request", string(c.request.ID)),
		zap.String("route", name),
		zap.String("team", string(c.team)),
		zap.String("service", string(c.service)),
		zap.String("upstream", string(c.upstream)),
		zap.Int("status", status),
		zap.String("reason", string(why)),
		zap.Int("sends", c.sends),
		zap.Int64("events", c.stream.lastEvent),
		zap.Duration("waited", c.waited),
		zap.Duration("first", c.first),
		zap.Duration("gap", c.stream.gap),
		zap.Duration("took", time.Since(c.arrived)),
		zap.Uint64("config", config),
		zap.Duration("age", c.gateway.View.Age(c.gateway.Now())))
}
