package gateway

import (
	"context"
	"errors"

	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
)

// checkCrash passes an attempt that failed with err to the detector of crashes if the
// upstream may have crashed under it. Silence counts only before the response: an
// upstream that has sent a part of it did not crash when it began to run the request.
func (c *call) checkCrash(ctx context.Context, u route.Upstream, err error) {
	switch {
	case errors.Is(err, errSlowRank):
	case ctx.Err() != nil, errors.Is(err, errStalled):
		if !c.responseBegun {
			c.gateway.Crashes.Unanswered(c.fingerprint, u)
		}
	case errors.Is(err, exchange.ErrBroken), errors.Is(err, errBrokenOff):
		c.gateway.Crashes.ConnectionLost(ctx, c.fingerprint, u)
	}
}
