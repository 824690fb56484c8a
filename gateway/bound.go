package gateway

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/memory"
	"go.uber.org/zap"
)

// bound is a bound on what is read from an upstream. It appears in the log and in metrics.
type bound string

// Bounds that a response may pass.
const (
	// boundEvent is the longest event of a stream.
	boundEvent bound = "event"
	// boundHead is the longest head of a response.
	boundHead bound = "head"
	// boundBody is the longest response that is buffered.
	boundBody bound = "body"
	// boundMemory is what may be held for one upstream or for all.
	boundMemory bound = "memory"
)

// passedBound returns the bound that a response passed, if that is what err says.
func passedBound(err error) bound {
	switch {
	case errors.Is(err, errEventTooLong):
		return boundEvent
	case errors.Is(err, exchange.ErrHeadTooLong):
		return boundHead
	case errors.Is(err, errTooLong):
		return boundBody
	case errors.Is(err, memory.ErrFull):
		return boundMemory
	}
	return ""
}

// countBound logs and counts which bound the response of the current attempt passed, if it
// did.
func (c *call) countBound(err error) {
	passed := passedBound(err)
	if passed == "" {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("foxtailstack_gateway_bounds_passed_total{bound=%q}", string(passed))).Inc()
	c.gateway.Log.Warn("upstream passed a bound",
		zap.String("request", string(c.requestInfo.ID)),
		zap.String("upstream", string(c.upstream)),
		zap.String("bound", string(passed)),
		zap.Int64("held", int64(c.incoming.Account.Held())),
		zap.Int64("of", int64(c.incoming.Account.Bound)))
}
