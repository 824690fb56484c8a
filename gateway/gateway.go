package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/watch"
	"go.uber.org/zap"
)

const (
	// keyMargin is taken off the time within which a removed key must stop
	// working, for the time between the check and the sending.
	keyMargin = 300 * time.Millisecond
	// readyShare is the part of that time after which callers should go elsewhere,
	// if there are entries that hear the store.
	readyShare = 0.66
	// answerMargin is how long after the end of a request's time its upstream's
	// own last word is waited for.
	answerMargin = 60 * time.Millisecond
	// defaultDeadline bounds requests without any limit.
	defaultDeadline = time.Minute
)

// Gateway is the handler of callers' requests.
type Gateway struct {
	View        *watch.View
	Scheduler   *dispatch.Scheduler
	RetryBudget *dispatch.RetryBudget
	Pool        *exchange.Pool
	Codec       exchange.Codec
	// KeyRevocation is the time within which a removed key must stop working.
	KeyRevocation time.Duration
	// Now is the time since the start of the machine, suspensions included.
	Now func() time.Duration
	Log *zap.Logger

	draining atomic.Bool
}

// Drain makes every answer from now on close its connection.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool {
	cfg := g.View.Config()
	if cfg == nil || g.View.Fleet() == nil || g.draining.Load() {
		return false
	}
	return !cfg.KeyRequired || g.KeyRevocation == 0 || float64(g.View.ConfigAge(g.Now())) < readyShare*float64(g.KeyRevocation)
}

// keysCurrent reports whether the present keys are known to be in force.
func (g *Gateway) keysCurrent() bool {
	return g.KeyRevocation == 0 || g.View.ConfigAge(g.Now()) < g.KeyRevocation-keyMargin
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		gateway: g,
		w:       w,
		r:       r,
		arrived: time.Now(),
		request: g.Codec.DecodeRequest(r.Header),
	}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit() {
		return
	}
	c.run()
}

// admit finds the route, the team and the body of a request, or answers it.
func (c *call) admit() bool {
	g := c.gateway
	c.cfg = g.View.Config()
	if c.cfg == nil {
		c.refuse(reasonNoConfig, farReturn)
		return false
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	var ok bool
	c.route, ok = c.cfg.Match(c.r.Host, path)
	if !ok {
		c.deny(http.StatusNotFound, reasonNoRoute)
		return false
	}
	c.urgency = c.route.Urgency
	if c.cfg.KeyRequired && !c.route.Public && !c.authenticate() {
		return false
	}
	return c.readBody()
}

// authenticate finds the team of a request, or answers it.
func (c *call) authenticate() bool {
	if !c.gateway.keysCurrent() {
		c.w.Header().Set("Connection", "close")
		c.refuse(reasonStaleKeys, nearReturn)
		return false
	}
	team, ok := c.cfg.Teams[c.request.APIKey]
	if !ok {
		c.deny(http.StatusUnauthorized, reasonNoKey)
		return false
	}
	c.team = team.Name
	if team.HasUrgency {
		c.urgency = team.Urgency
	}
	return true
}

// readBody reads the body of a request, or answers it.
func (c *call) readBody() bool {
	limit := int64(c.cfg.Limits.Body)
	if limit <= 0 {
		limit = maxWhole
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	if err == nil {
		c.body = body
		return true
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		c.deny(http.StatusRequestEntityTooLarge, reasonBody)
		return false
	}
	c.deny(http.StatusBadRequest, reasonBody)
	return false
}

// reason says in the log and in the body of an answer why a request failed.
type reason string

// The reasons.
const (
	reasonServed    reason = "served"
	reasonNoConfig  reason = "no-configuration"
	reasonNoRoute   reason = "no-route"
	reasonNoKey     reason = "unknown-key"
	reasonStaleKeys reason = "keys-not-current"
	reasonBody      reason = "body"
	reasonNoServer  reason = "no-upstream"
	reasonCrowded   reason = "too-many-waiting"
	reasonFull      reason = "upstreams-refused"
	reasonTimeout   reason = "timeout"
	reasonFailed    reason = "upstreams-failed"
	reasonUpstream  reason = "upstream-answered"
	reasonBroken    reason = "stream-broken"
	reasonLeft      reason = "caller-left"
)

// Times after which callers are told to come back.
const (
	// nearReturn is for what another entry can serve now.
	nearReturn = 20 * time.Millisecond
	// soonReturn is for a queue that is full.
	soonReturn = 250 * time.Millisecond
	// spreadReturn is the time over which returns to a full queue are spread.
	spreadReturn = time.Second
	// leastParts is the number of parts of the time left of which a return may
	// take one.
	leastParts = 3
	// farReturn is for what takes the whole system some time.
	farReturn = 500 * time.Millisecond
)

// refuse tells that the request did not run and when to come back.
func (c *call) refuse(why reason, after time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	c.deny(http.StatusServiceUnavailable, why)
}

// deny answers with a status of the system's own.
func (c *call) deny(status int, why reason) {
	body := string(why) + "\n"
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, body) // the caller may have left
	c.finish(status, why)
}
