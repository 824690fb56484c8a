package gateway

import (
	"context"
	"errors"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// bindRegions keeps the request to regions. An empty list binds nothing.
func (c *call) bindRegions(regions route.Regions) {
	if len(regions) > 0 {
		c.regions = append(c.regions, regions)
	}
}

// maySend reports whether the request may still be sent to an upstream that was reserved
// for it: its data centre may have been evacuated meanwhile. Right after the process stood
// still it waits until that is known.
func (c *call) maySend(ctx context.Context, u route.Upstream) bool {
	c.gateway.Suspension.Await(ctx)
	current, ok := c.gateway.View.Fleet().Lookup(u.Name)
	if !ok || !current.Evacuated {
		return true
	}
	c.gateway.Log.Info("upstream evacuated before the request was sent",
		zap.String("request", string(c.requestInfo.ID)),
		zap.String("upstream", string(u.Name)),
		zap.String("centre", string(u.Centre)))
	return false
}

// respondNoUpstream responds to a request that no ready upstream may get.
func (c *call) respondNoUpstream(err error) {
	var none *dispatch.NoUpstreamError
	if !errors.As(err, &none) {
		c.respondUnavailable(reasonNoUpstream, retryAfterOutage)
		return
	}
	reason := reasonNoUpstream
	switch {
	case none.Evacuated > 0:
		reason = reasonEvacuated
	case none.Elsewhere > 0:
		reason = reasonRegions
	case c.belief() == beliefRefused:
		c.respondRefusedByUpstreams()
		return
	}
	c.gateway.Log.Info("no upstream for the request",
		zap.String("request", string(c.requestInfo.ID)),
		zap.Int("evacuated", none.Evacuated),
		zap.Int("elsewhere", none.Elsewhere))
	c.respondUnavailable(reason, retryAfterOutage)
}
