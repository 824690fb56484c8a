package gateway

import (
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
)

const (
	// stallCheckInterval is the interval between checks of whether a stream should
	// leave its rank.
	stallCheckInterval = 100 * time.Millisecond
	// minStallTime is how long a stream of a group makes no progress before it
	// moves to another rank, and minStallPasses is how many passes the scheduler
	// must have counted in that time. Ranks work in lock-step: a rank whose streams
	// stall while those of other ranks proceed is therefore unreachable. A stream
	// without a first event may be queued at its rank, and counts as stalled only
	// if the scheduler reports the rank silent. Such a rank needs minSilentPasses only.
	minStallTime    = 400 * time.Millisecond
	minStallPasses  = 5
	minSilentPasses = 2
)

// progress records when a stream was sent to its current rank or received its last
// new event from it, and the passes of the rank's group that this process had detected
// at that time.
type progress struct {
	at     time.Time
	passes dispatch.Passes
	// eventReceived is set once the rank has sent an event that the caller did not
	// have.
	eventReceived bool
}

// recordProgress records that the request was sent or, if eventReceived is set,
// that an event was received that the caller did not have.
func (c *call) recordProgress(eventReceived bool) {
	if !c.grouped() {
		return
	}
	c.progress = progress{
		at:            time.Now(),
		passes:        c.gateway.Scheduler.Passes(c.service, c.upstream),
		eventReceived: eventReceived,
	}
}

// grouped reports whether the upstreams of the service are ranks of groups.
func (c *call) grouped() bool {
	return c.cfg.Services[c.service].Group != nil
}

// Reasons for which a stream leaves its rank.
var (
	errStalled  = errors.New("rank makes no progress while its group does")
	errSlowRank = errors.New("rank is slow and holds up its group")
)

// setLeaveCheck sets a read check on a connection, by which a resumable stream leaves a
// rank that stalls or is slow.
func (c *call) setLeaveCheck(lease *exchange.Lease) {
	if c.route.Kind != route.Stream || !c.route.Idempotent() || !c.grouped() {
		return
	}
	c.recordProgress(false)
	lease.SetReadCheck(stallCheckInterval, c.checkLeave)
}

// checkLeave returns the fault for which the stream must leave its rank, or nil.
// Before it returns a fault, it takes the next attempt from the retry budget; if
// the budget grants none, the stream stays. The result is also nil if the caller
// has disconnected, the stream cannot be resumed or the attempts that the route allows are
// used up.
func (c *call) checkLeave() error {
	if c.r.Context().Err() != nil || c.stream.unnumbered || len(c.sentTo) >= c.route.MaxAttempts {
		return nil
	}
	fault := c.rankFault()
	if fault == nil {
		return nil
	}
	c.retryGranted = c.gateway.RetryBudget.AllowRetry(c.service)
	if !c.retryGranted {
		return nil // not counted as denied: the check is repeated
	}
	retriesGrantedTotal.Inc()
	return fault
}

// rankFault returns errSlowRank or errStalled if the rank does not serve the
// stream well, or nil. All streams leave a slow rank, because its requests delay
// every pass of the group.
func (c *call) rankFault() error {
	scheduler := c.gateway.Scheduler
	if scheduler.Slow(c.upstream) {
		return errSlowRank
	}
	if time.Since(c.progress.at) < minStallTime {
		return nil
	}
	passes := scheduler.Passes(c.service, c.upstream)
	if passes.Group != c.progress.passes.Group {
		c.progress.passes = passes
		return nil
	}
	needed := dispatch.PassCount(minStallPasses)
	switch {
	case scheduler.Silent(c.upstream):
		needed = minSilentPasses
	case !c.progress.eventReceived:
		return nil // it may wait for its turn at the rank
	}
	if passes.Count < c.progress.passes.Count+needed {
		return nil
	}
	return errStalled
}
