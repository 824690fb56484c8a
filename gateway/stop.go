package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// errStopping is why a request ends early: this process ends.
var errStopping = errors.New("this entry stops")

// plannedStop is the end that is planned for this process. The zero value has none.
type plannedStop struct {
	// at is the time at which requests that are still in progress get their last answer.
	at time.Time
}

// Drain begins a planned stop. All further responses close their connection and Ready reports
// false. Requests that are not expected to be done at a time are refused, so that their
// callers turn to another entry, and those that are in progress then get their last answer.
// Drain must be called at most once.
func (g *Gateway) Drain(at time.Time) {
	g.stop.Store(&plannedStop{at: at})
	time.AfterFunc(time.Until(at), func() {
		g.endOnce.Do(g.initEnd)
		g.end()
	})
}

// initEnd sets the context that ends with the last answers of a planned stop.
func (g *Gateway) initEnd() {
	g.ending, g.end = context.WithCancel(context.Background())
}

// stopping returns a context that is done once requests in progress have to be answered
// because this process ends.
func (g *Gateway) stopping() context.Context {
	g.endOnce.Do(g.initEnd)
	return g.ending
}

// draining reports whether a planned stop has begun.
func (g *Gateway) draining() bool {
	return g.stop.Load() != nil
}

// fitsBeforeStop reports whether a request can be expected to be done before a planned stop
// ends, if there is one. A stream that has begun is always tried: its caller cannot start
// over.
func (c *call) fitsBeforeStop() bool {
	stop := c.gateway.stop.Load()
	if stop == nil || c.stream.begun() {
		return true
	}
	needs := max(c.minServiceTime, c.gateway.serviceTimes.expected(c.route.Name))
	left := time.Until(stop.at)
	if needs < left {
		return true
	}
	c.gateway.Log.Info("request does not fit before the stop",
		zap.String("request", string(c.requestInfo.ID)),
		zap.Duration("needs", needs),
		zap.Duration("left", left))
	return false
}

// isStopping reports whether ctx ended because this process does.
func isStopping(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopping)
}
