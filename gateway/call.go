package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/memory"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/route"
)

const (
	// maxBufferedBody is the length in bytes at which a response other than a
	// stream fails its attempt; shorter ones are buffered before they are relayed.
	// It also limits request bodies if the configuration sets no limit.
	maxBufferedBody = 16 << 20
	// maxRefusals is the number of refusals by upstreams up to which a request is
	// tried again; after that the caller gets a 503 with Retry-After. Streams that
	// have begun outlast more.
	maxRefusals = 2
	// maxDialFailures is the number of failed connection attempts up to which a
	// request is tried at another upstream.
	maxDialFailures = 4
)

// call is the state of one caller's request.
type call struct {
	gateway     *Gateway
	w           http.ResponseWriter
	r           *http.Request
	cfg         *route.Config
	route       *route.Route
	requestInfo exchange.RequestInfo
	team        foxtailstack.TeamName
	// once is the key by which a request that may run once is remembered; zero for others.
	once uint64
	// regions holds the lists of regions of the route and the team, all of which bind.
	regions []route.Regions
	// urgency combines those of the team and of the route (see route.CombinedUrgency).
	urgency int
	body    []byte
	// holding is what is held for the request.
	holding memory.Holding
	// incoming is what is held for the head and the current event of the current attempt,
	// buffered what is held for its response if that is no stream. earlier holds those of
	// attempts before.
	incoming, buffered *memory.Holding
	earlier            []*memory.Holding
	// callerSlow is set if the caller did not read its response, callerGone if it has
	// disconnected, which the context of the request need not show yet.
	callerSlow bool
	callerGone bool
	arrived    time.Time
	deadline   time.Time
	service    foxtailstack.ServiceName
	// subject is what the quarantine knows the request by. It is set once the service has
	// been picked.
	subject quarantine.Subject

	// tried holds the upstreams to which the request was written and addresses where they
	// were, sentTo those of them that count for route.Route.MaxAttempts, and mayHaveRun those
	// that may have run it.
	addresses    map[foxtailstack.Address]bool
	tried        map[foxtailstack.UpstreamName]bool
	sentTo       map[foxtailstack.UpstreamName]bool
	mayHaveRun   map[foxtailstack.UpstreamName]bool
	sendCount    int
	dialFailures int
	// refusals counts the upstreams that refused because they were full or because
	// their address had moved to another upstream.
	refusals int
	// lastFailure is the last error response of an upstream. It is relayed if no
	// attempt succeeds.
	lastFailure *bufferedResponse
	// responseTooLong is set if an upstream's response was longer than can be buffered.
	responseTooLong bool
	stream          streamState
	// progress is the last observed progress of the current attempt.
	progress progress
	// retryGranted records that the retry budget has already granted the next
	// attempt.
	retryGranted bool
	// minServiceTime is the time that serving the request is estimated to take at
	// least; with less time left it is refused.
	// abandonAt is when the caller closes the connection if it has received no
	// event; zero means never. Both are set only for services with groups.
	minServiceTime time.Duration
	abandonAt      time.Time
	// queueTime is the total time spent waiting for a reservation.
	queueTime time.Duration
	// timeToFirstByte is the time from the arrival of the request to the first
	// bytes of the response; zero before that.
	timeToFirstByte time.Duration
	// upstream is the upstream of the latest attempt, and trial holds the parts that the
	// attempt tests. answer is how far the response has come.
	upstream foxtailstack.UpstreamName
	trial    []quarantine.Fingerprint
	answer   quarantine.Progress
	// current is what the log tells of the latest attempt.
	current attemptLog
}

// attemptResult states how the request continues after an attempt.
type attemptResult uint8

const (
	// resultServed means that the response was relayed to the caller.
	resultServed attemptResult = iota
	// resultRetry means that another attempt may be made.
	resultRetry
	// resultReadmit means that nothing was sent, and that the request needs a new
	// admission.
	resultReadmit
	// resultGiveUp means that the caller has disconnected or the deadline has
	// passed.
	resultGiveUp
)

// run makes attempts until a response has been relayed or the request has to be
// given up.
func (c *call) run() {
	c.addresses = make(map[foxtailstack.Address]bool)
	c.tried = make(map[foxtailstack.UpstreamName]bool)
	c.sentTo = make(map[foxtailstack.UpstreamName]bool)
	c.mayHaveRun = make(map[foxtailstack.UpstreamName]bool)
	c.service = c.route.Pick()
	c.subject = c.newSubject()
	c.gateway.RetryBudget.CountRequest(c.service)
	timeout := c.timeout()
	c.deadline = c.arrived.Add(timeout)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline.Add(responseGrace))
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	defer context.AfterFunc(c.gateway.stopping(), func() { cancelCause(errStopping) })()
	for {
		if !c.fitsBeforeStop() {
			c.giveUp(ctx, errStopping)
			return
		}
		reservation, admission, err := c.reserve(ctx)
		if c.outlastsPause(ctx, err) {
			continue
		}
		if err == nil && !c.fitsBeforeStop() {
			admission.Release()
			reservation.Release(dispatch.Report{}) // inconclusive
			err = errStopping
		}
		if err != nil {
			c.giveUp(ctx, err)
			return
		}
		switch c.attempt(ctx, reservation, admission) {
		case resultServed:
			return
		case resultGiveUp:
			c.giveUp(ctx, dispatch.ErrQueueTimeout) // stands for the end of the attempt; no queue is involved
			return
		case resultReadmit:
			continue
		case resultRetry:
		}
		if !c.mayRetry() || !c.outlastsRefusals(ctx) {
			c.giveUp(ctx, errNoRetry)
			return
		}
	}
}

// errOutdated ends a request whose time was over as a crash was recorded under an equal one.
var errOutdated = errors.New("a crash was recorded under an equal request")

// errNoRetry ends a request for which no further attempt is allowed.
var errNoRetry = errors.New("no further attempt is allowed")

// timeout returns the total time allowed for the request: the smaller of the
// caller's timeout and that of the route, or defaultTimeout if neither is set.
// Zero of either means that it is not set.
func (c *call) timeout() time.Duration {
	timeout := c.requestInfo.Timeout
	if timeout == 0 || c.route.Timeout > 0 && c.route.Timeout < timeout {
		timeout = c.route.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return timeout
}

// reserve returns a reservation at an upstream and the admission for it. If an upstream
// crashes under an equal request while this one waits, it needs a new admission.
func (c *call) reserve(ctx context.Context) (*dispatch.Reservation, quarantine.Admission, error) {
	for {
		admission, err := c.gateway.Quarantine.List.Admit(ctx, c.subject)
		if err != nil {
			return nil, admission, err
		}
		reservation, err := c.acquireAs(ctx, admission)
		outdated := admission.Outdated.Err() != nil
		if !outdated && err == nil {
			return reservation, admission, nil
		}
		admission.Release()
		if err == nil {
			reservation.Release(dispatch.Report{}) // inconclusive
			err = errOutdated
		}
		if !outdated || ctx.Err() != nil {
			return nil, admission, err
		}
	}
}

// acquireAs waits for a reservation until the admission is outdated.
func (c *call) acquireAs(ctx context.Context, admission quarantine.Admission) (*dispatch.Reservation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(admission.Outdated, cancel)
	defer stop()
	return c.acquire(ctx, admission)
}

// excluded returns the upstreams that the request must not be sent to again. One that is not
// idempotent goes to each upstream once: a response is told by the IDs of the request and of
// the upstream, so that an upstream that writes its refusal of one attempt twice would seem
// to refuse the next one as well, which it may run. See also sameProcess.
func (c *call) excluded() map[foxtailstack.UpstreamName]bool {
	if c.route.Idempotent() {
		return c.mayHaveRun
	}
	return c.tried
}

// sameProcess reports whether a request that is not idempotent was sent to the address of an
// upstream before, as the upstream of another name. Then it is left out: it may be the same
// process, which has refused the request by its former name.
func (c *call) sameProcess(u route.Upstream) bool {
	if c.route.Idempotent() || !c.addresses[u.Address] {
		return false
	}
	c.tried[u.Name] = true
	return true
}

// acquire waits for a reservation at an upstream. Once the request was sent to as
// many upstreams as the route allows, it may go only to these again, and of these
// only to those that did not run it.
func (c *call) acquire(ctx context.Context, admission quarantine.Admission) (*dispatch.Reservation, error) {
	request := dispatch.Request{
		Service:   c.service,
		Grouped:   c.cfg.Services[c.service].Group != nil,
		Urgency:   c.urgency,
		Excluded:  c.excluded(),
		Begun:     len(c.mayHaveRun) > 0,
		Suspect:   admission.Suspect,
		Placement: admission.Placement,
		Deadline:  c.deadline,
		Regions:   c.regions,
	}
	if c.route.TargetLatency > 0 {
		request.TurnBy = c.arrived.Add(c.route.TargetLatency)
	}
	if group := c.cfg.Services[c.service].Group; group != nil {
		c.estimateTimes(&request, group)
	}
	if len(c.sentTo) >= c.route.MaxAttempts {
		request.Only = c.sentTo
	}
	began := time.Now()
	reservation, err := c.gateway.Scheduler.Acquire(ctx, request)
	c.queueTime += time.Since(began)
	c.logHeld(reservation, err, time.Since(began))
	c.logMove(reservation, err, time.Since(began))
	return reservation, err
}

// receivedEvents returns the ID of the last event that the caller has. Upstreams number
// the events of a stream from one.
func (c *call) receivedEvents() int64 {
	return max(c.stream.lastEventID, c.requestInfo.LastEventID)
}

// mayRetry reports whether another attempt is allowed by the route, the limits on
// failures and the retry budget. A request that is not idempotent has none left once it was
// sent to as many upstreams as the route allows (see excluded). A stream whose events have no
// IDs cannot be resumed. The
// budget is not needed as long as nothing was sent, nor if checkLeave has taken the attempt
// from it already; mayRetry uses up that grant.
func (c *call) mayRetry() bool {
	if len(c.mayHaveRun) > 0 && (!c.route.Idempotent() || len(c.mayHaveRun) >= c.route.MaxAttempts) {
		return false
	}
	if !c.route.Idempotent() && len(c.sentTo) >= c.route.MaxAttempts {
		return false
	}
	if c.stream.unnumbered {
		return false
	}
	if c.dialFailures > maxDialFailures || c.refusals > maxRefusals && !c.stream.headerSent {
		return false
	}
	if c.sendCount == 0 || c.retryGranted {
		c.retryGranted = false
		return true
	}
	if !c.gateway.RetryBudget.AllowRetry(c.service) {
		retriesDeniedTotal.Inc()
		return false
	}
	retriesGrantedTotal.Inc()
	return true
}

// allowedTime returns the timeout once the deadline has been set from it, or zero
// before.
func (c *call) allowedTime() time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return c.deadline.Sub(c.arrived)
}
