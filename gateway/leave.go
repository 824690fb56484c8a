package gateway

import (
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
)

const (
	// stallCheck is the time between two looks at whether a stream should leave its rank.
	stallCheck = 100 * time.Millisecond
	// stallTime is how long a stream of a group makes no progress at the least until
	// it goes on at another rank, and stallPasses how many passes the group makes in
	// that time. Ranks work in lock-step, so that one whose streams stand still while
	// those of others go on cannot be reached. One that has not begun may have to
	// wait for its turn, and leaves only a rank that is believed to be silent.
	stallTime   = 400 * time.Millisecond
	stallPasses = 5
)

// progress is when a stream was sent to its present rank or had its last event from
// there, and how many passes the group had made by then.
type progress struct {
	at     time.Time
	passes dispatch.PassCount
	// begun tells that the rank has sent an event.
	begun bool
}

// progressed records that the stream was sent or, if it has begun, had an event now.
func (c *call) progressed(begun bool) {
	if !c.grouped() {
		return
	}
	c.progress = progress{
		at:     time.Now(),
		passes: c.gateway.Scheduler.PassCount(c.service),
		begun:  begun,
	}
}

// grouped reports whether the upstreams are ranks of groups.
func (c *call) grouped() bool {
	return c.cfg.Services[c.service].Group != nil
}

// Reasons for which a stream leaves its rank.
var (
	errStill = errors.New("rank makes no progress while its group does")
	errSlow  = errors.New("rank is slow and holds up its group")
)

// watch has a stream that may go on at another rank leave one that stands still or
// is slow.
func (c *call) watch(conn *exchange.Conn) {
	if c.route.Kind != route.Stream || !c.route.Idempotent() || !c.grouped() {
		return
	}
	c.progressed(false)
	conn.SetReadCheck(stallCheck, c.leave)
}

// leave returns why the request should leave its rank, or nil, and takes the next
// attempt from the budget if so.
func (c *call) leave() error {
	if c.r.Context().Err() != nil || len(c.sent) >= c.route.MaxAttempts {
		return nil
	}
	why := c.unfit()
	if why == nil {
		return nil
	}
	c.paid = c.gateway.RetryBudget.AllowRetry(c.service)
	if !c.paid {
		return nil
	}
	return why
}

// unfit returns why the rank does not serve the request well, or nil. A slow rank
// holds up every pass by its own requests, so that all its streams leave.
func (c *call) unfit() error {
	board := c.gateway.Scheduler
	if board.Slow(c.upstream) {
		return errSlow
	}
	if time.Since(c.progress.at) < stallTime {
		return nil
	}
	if board.PassCount(c.service) < c.progress.passes+stallPasses {
		return nil
	}
	if !c.progress.begun && !board.Silent(c.upstream) {
		return nil
	}
	return errStill
}
