package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"go.uber.org/zap"
)

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
	case errors.Is(err, dispatch.ErrOverloaded):
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
	var crowded *dispatch.OverloadError
	if !errors.As(err, &crowded) {
		return
	}
	patience := time.Duration(0)
	if !c.begins.IsZero() {
		patience = time.Until(c.begins)
	}
	c.gateway.Log.Info("request cannot be served in time",
		zap.String("request", string(c.request.ID)),
		zap.Int("queued", crowded.Queued),
		zap.Duration("wait", crowded.Wait),
		zap.Duration("pass", crowded.PassTime),
		zap.Duration("needs", c.needs),
		zap.Duration("left", time.Until(c.ends)),
		zap.Duration("patience", patience))
}
