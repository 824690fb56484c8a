package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

const (
	// firstRefusalPause is the time from the first refusal beyond maxRefusals until a
	// stream that has begun is sent again. It doubles with each further one, up to
	// refusalPauseDoublings times.
	firstRefusalPause     = 50 * time.Millisecond
	refusalPauseDoublings = 3
)

// outlastsPause waits until an upstream wants requests again if err says that all that may
// get the request want none. It returns false at once if the stream has not begun or would
// have no time left: a caller without a response may come back, one with a part of a stream
// cannot.
func (c *call) outlastsPause(ctx context.Context, err error) bool {
	var paused *dispatch.PausedError
	if !c.stream.headerSent || !errors.As(err, &paused) {
		return false
	}
	return c.outlast(ctx, paused.Wait)
}

// outlastsRefusals waits before a stream that has begun is sent again after more refusals
// than maxRefusals. It returns false if its time is over before.
func (c *call) outlastsRefusals(ctx context.Context) bool {
	beyond := c.refusals - maxRefusals
	if beyond <= 0 {
		return true
	}
	return c.outlast(ctx, firstRefusalPause<<min(beyond-1, refusalPauseDoublings))
}

// outlast waits for a time. It returns false at once if the deadline passes before.
func (c *call) outlast(ctx context.Context, wait time.Duration) bool {
	if time.Until(c.deadline) <= wait {
		return false
	}
	c.gateway.Log.Info("stream waits for an upstream",
		zap.String("request", string(c.requestInfo.ID)),
		zap.Int64("event", c.stream.lastEventID),
		zap.Int("refusals", c.refusals),
		zap.Duration("wait", wait))
	return clock.Sleep(ctx, wait) == nil
}
