package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/memory"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/route"
	"github.com/foxtailstack/foxtailstack/watch"
	"go.uber.org/zap"
)

const (
	// keyCheckMargin is subtracted from the time within which a revoked key must
	// stop working. It covers the time from the check of the key to the sending of
	// the request.
	keyCheckMargin = 300 * time.Millisecond
	// readyFraction is the fraction of KeyRevocation that the age of the
	// configuration may reach before the gateway reports that it is not ready, so
	// that callers switch to entries that still reach the store.
	readyFraction = 0.66
	// responseGrace is how long after the deadline of a request the gateway still
	// waits for the upstream's own final response.
	responseGrace = 60 * time.Millisecond
	// defaultTimeout applies to requests for which neither the caller nor the
	// route sets a limit.
	defaultTimeout = time.Minute
)

// Gateway is the http.Handler for callers' requests. All exported fields except
// KeyRevocation and those about memory must be set before the first request.
type Gateway struct {
	View        *watch.View
	Scheduler   *dispatch.Scheduler
	RetryBudget *dispatch.RetryBudget
	Pool        *exchange.Pool
	Codec       exchange.Codec
	// Quarantine admits requests and keeps those that crash upstreams away from further
	// ones, Crashes finds out which do.
	Quarantine *quarantine.Table
	Crashes    *quarantine.Detector
	// Suspension holds back what would be sent right after the process stood still. It may
	// be nil.
	Suspension *watch.Suspension
	// Memory is the account of what is held for callers: their bodies, and responses that
	// are buffered.
	Memory memory.Account
	// Incoming is the account of the heads and events that are being read from each upstream.
	Incoming memory.Shares
	// AnswerShare is the maximum number of bytes of Memory that the buffered responses of one
	// upstream may take; zero means that there is none.
	AnswerShare foxtailstack.Bytes
	// KeyRevocation is the time within which a revoked key must stop working. Zero
	// disables the check of the configuration's age.
	KeyRevocation time.Duration
	// Now returns the time since the machine booted, including time spent
	// suspended.
	Now func() time.Duration
	Log *zap.Logger

	// stop is the planned stop; nil if there is none. ending is done when the last answers
	// are due; end ends it.
	stop    atomic.Pointer[plannedStop]
	endOnce sync.Once
	ending  context.Context
	end     context.CancelFunc
	// firstAsked is the time by Now at which crashesKnown first waited; zero before.
	firstAsked atomic.Int64
	// once remembers the requests that may run once.
	once onceRequests
	// serviceTimes says how long requests take.
	serviceTimes serviceTimes
	// answers divides Memory among the upstreams.
	answers     memory.Shares
	answersOnce sync.Once
}

// crashReadTime is how long a gateway that knows configuration and fleet waits for the crashes
// that other entries share, before it is ready without them: the store answers in part only.
const crashReadTime = 2 * time.Second

// crashesKnown reports whether the crashes that other entries share were read, or have not
// come for crashReadTime.
func (g *Gateway) crashesKnown() bool {
	if g.Quarantine.Read() {
		return true
	}
	now := int64(g.Now())
	g.firstAsked.CompareAndSwap(0, max(now, 1))
	return time.Duration(now-g.firstAsked.Load()) >= crashReadTime
}

// Ready reports whether callers should send requests to this entry: configuration
// and fleet are known, and so are the crashes of upstreams (see crashesKnown), the gateway is not draining, and, if keys are required, the
// configuration is younger than readyFraction of KeyRevocation. The gateway accepts
// keys for longer than that, see keysCurrent.
func (g *Gateway) Ready() bool {
	cfg := g.View.Config()
	if cfg == nil || g.View.Fleet() == nil || g.draining() || !g.crashesKnown() {
		return false
	}
	return !cfg.KeyRequired || g.KeyRevocation == 0 || float64(g.View.ConfigAge(g.Now())) < readyFraction*float64(g.KeyRevocation)
}

// keysCurrent reports whether the configuration was confirmed recently enough that
// no revoked key is accepted.
func (g *Gateway) keysCurrent() bool {
	return g.KeyRevocation == 0 || g.View.ConfigAge(g.Now()) < g.KeyRevocation-keyCheckMargin
}

// ServeHTTP forwards one request and relays the response.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		gateway:     g,
		w:           w,
		r:           r,
		arrived:     time.Now(),
		requestInfo: g.Codec.DecodeRequest(r.Header),
		holding:     memory.Holding{Account: &g.Memory},
	}
	defer c.releaseMemory()
	if g.draining() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit() {
		return
	}
	c.run()
}

// admit determines the route and team of the request and reads its body. If any of
// them is missing or invalid, it responds with an error and returns false.
func (c *call) admit() bool {
	g := c.gateway
	c.cfg = g.View.Config()
	if c.cfg == nil {
		c.respondUnavailable(reasonNoConfig, retryAfterOutage)
		return false
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	var ok bool
	c.route, ok = c.cfg.Match(c.r.Host, path)
	if !ok {
		c.respondError(http.StatusNotFound, reasonNoRoute)
		return false
	}
	if !c.firstTime() {
		return false
	}
	c.urgency = c.route.CombinedUrgency(route.Team{})
	c.bindRegions(c.route.Regions)
	if c.cfg.KeyRequired && !c.route.Public && !c.authenticate() {
		return false
	}
	return c.readBody()
}

// authenticate determines the team by the caller's API key. If the key is unknown
// or cannot be checked, it responds with an error and returns false.
func (c *call) authenticate() bool {
	if !c.gateway.keysCurrent() {
		c.w.Header().Set("Connection", "close")
		c.respondUnavailable(reasonStaleKeys, retryAfterElsewhere)
		return false
	}
	team, ok := c.cfg.Teams[c.requestInfo.APIKey]
	if !ok {
		c.respondError(http.StatusUnauthorized, reasonUnknownKey)
		return false
	}
	c.team = team.Name
	c.bindRegions(team.Regions)
	c.urgency = c.route.CombinedUrgency(team)
	return true
}

// endReason states why a request ended. It appears in the log, in metrics and in
// the body of error responses.
type endReason string

const (
	reasonServed             endReason = "served"
	reasonNoConfig           endReason = "no-configuration"
	reasonNoRoute            endReason = "no-route"
	reasonUnknownKey         endReason = "unknown-key"
	reasonStaleKeys          endReason = "keys-not-current"
	reasonBody               endReason = "body"
	reasonNoUpstream         endReason = "no-upstream"
	reasonOverloaded         endReason = "too-many-waiting"
	reasonEvacuated          endReason = "data-centres-evacuated"
	reasonRegions            endReason = "no-upstream-in-regions"
	reasonPaused             endReason = "upstreams-paused"
	reasonLimited            endReason = "upstreams-limited"
	reasonNotRun             endReason = "upstreams-refused"
	reasonTimeout            endReason = "timeout"
	reasonAllFailed          endReason = "upstreams-failed"
	reasonUpstreamFailure    endReason = "upstream-answered"
	reasonStreamBroken       endReason = "stream-broken"
	reasonCallerDisconnected endReason = "caller-left"
	reasonCallerSlow         endReason = "caller-reads-slowly"
	reasonMemory             endReason = "memory"
	reasonQuarantined        endReason = "quarantined"
	reasonEqualRuns          endReason = "equal-request-runs"
	reasonStopping           endReason = "entry-stops"
	reasonTooLong            endReason = "response-too-long"
	reasonRepeated           endReason = "request-repeated"
)

// Values of the Retry-After header.
const (
	// retryAfterElsewhere applies if another entry can serve the request now.
	retryAfterElsewhere = 20 * time.Millisecond
	// retryAfterQueue applies if a queue is full, if upstreams refused the request
	// or could not be reached and no further attempt is allowed, or if the time is
	// over before the request ran.
	retryAfterQueue = 250 * time.Millisecond
	// retryAfterRefused applies if an upstream refused a request that may go to no other in
	// this attempt of its caller.
	retryAfterRefused = 50 * time.Millisecond
	// retryAfterMemory applies if what is held for callers leaves no room.
	retryAfterMemory = time.Second
	// retryAfterSpread is the interval over which retries to a full queue are
	// randomly spread.
	retryAfterSpread = time.Second
	// retryAfterDivisor bounds a Retry-After by the remaining time of the request
	// divided by this number, to leave time to serve the retry.
	retryAfterDivisor = 3
	// retrySpreadDivisor is the part of a Retry-After over which callers that are refused
	// together come back.
	retrySpreadDivisor = 5
	// yieldSpreadDivisor replaces it for those that yield to more urgent requests.
	yieldSpreadDivisor = 2
	// retryAfterOutage applies if no configuration or no upstream is available. The
	// whole system needs some time to recover from that.
	retryAfterOutage = 500 * time.Millisecond
)

// respondUnavailable responds with status 503, which states that the request did
// not run and never will, and a Retry-After header.
func (c *call) respondUnavailable(reason endReason, retryAfter time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	c.respondError(http.StatusServiceUnavailable, reason)
}

// respondError responds with an error of the gateway itself, as opposed to one
// relayed from an upstream.
func (c *call) respondError(status int, reason endReason) {
	body := string(reason) + "\n"
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, body) // the caller may have disconnected
	c.finish(status, reason)
}
