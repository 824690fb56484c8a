package gateway

import (
	"context"
	"errors"
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
	request exchange.RequestInfo
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
	// progress is what the present attempt was last seen to do.
	progress progress
	// paid tells that the budget has already given the next attempt.
	paid bool
	// needs is the least time in which the request can be served, begins when the
	// caller leaves if no event has come; zero means never.
	needs  time.Duration
	begins time.Time
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
	c.gateway.RetryBudget.CountRequest(c.service)
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
			c.giveUp(ctx, dispatch.ErrQueueTimeout)
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
	left := c.request.Timeout
	if left == 0 || c.route.Timeout > 0 && c.route.Timeout < left {
		left = c.route.Timeout
	}
	if left == 0 {
		left = defaultDeadline
	}
	return left
}

// acquire waits for an upstream.
func (c *call) acquire(ctx context.Context) (*dispatch.Reservation, error) {
	ask := dispatch.Request{
		Service:  c.service,
		Grouped:  c.cfg.Services[c.service].Group != nil,
		Urgency:  c.urgency,
		Excluded: c.ran,
		Deadline: c.ends,
	}
	if shape := c.cfg.Services[c.service].Group; shape != nil {
		c.estimate(&ask, shape)
	}
	if len(c.sent) >= c.route.MaxAttempts {
		ask.Only = c.sent
	}
	began := time.Now()
	ticket, err := c.gateway.Scheduler.Acquire(ctx, ask)
	c.waited += time.Since(began)
	return ticket, err
}

// estimate sets the times of a request to a group. An event of a stream takes a
// pass; a stream whose events come too far apart is late whenever it begins.
func (c *call) estimate(ask *dispatch.Request, shape *route.Group) {
	pass := c.gateway.Scheduler.PassTime(c.service)
	ask.SoftDeadline = c.arrived.Add(c.route.TargetLatency - firstEventTime)
	if c.route.MaxEventGap > 0 && pass > c.route.MaxEventGap {
		ask.SoftDeadline = c.arrived
	}
	tokens := c.request.ExpectedOutputTokens
	if tokens == 0 || c.request.MaxOutputTokens > 0 && tokens > c.request.MaxOutputTokens {
		tokens = c.request.MaxOutputTokens
	}
	ask.TimeToFirstEvent = max(firstEventTime, firstEventPasses*pass)
	if c.route.Kind == route.Stream && !c.stream.begun {
		ask.AbandonAt = c.arrived.Add(c.route.AbandonTimeout())
	}
	events := int64(tokens) / int64(max(shape.TokenStepsPerPass, 1))
	ask.MinServiceTime = ask.TimeToFirstEvent + time.Duration(hintTrust*float64(events))*max(pass, leastPass)
	c.needs = ask.MinServiceTime
	c.begins = ask.AbandonAt
}

// mayRetry reports whether the request may be sent once more.
func (c *call) mayRetry() bool {
	if len(c.ran) > 0 && (!c.route.Idempotent() || len(c.ran) >= c.route.MaxAttempts) {
		return false
	}
	if c.dials > maxDials || c.refusals > maxRefusals {
		return false
	}
	if c.sends == 0 || c.paid {
		c.paid = false
		return true
	}
	allowed := c.gateway.RetryBudget.AllowRetry(c.service)
	if !allowed {
		noRetryTotal.Inc()
	}
	return allowed
}

// logAttempt logs how an attempt failed.
func (c *call) logAttempt(message string, err error) {
	c.gateway.Log.Info(message,
		zap.String("request", string(c.request.ID)),
		zap.String("upstream", string(c.upstream)),
		zap.Int64("event", c.stream.lastEvent),
		zap.Error(err))
}

// given returns the time that the request had in all, or zero before that is known.
func (c *call) given() time.Duration {
	if c.ends.IsZero() {
		return 0
	}
	return c.ends.Sub(c.arrived)
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
		zap.Duration("given", c.given()),
		zap.Uint64("config", config),
		zap.Duration("age", c.gateway.View.ConfigAge(c.gateway.Now())))
}
