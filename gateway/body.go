package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/foxtailstack/foxtailstack/memory"
	"go.uber.org/zap"
)

// readBody reads the request body in the time that the request has. If it exceeds the
// limit, does not come or leaves no room for other requests, it responds with an error and
// returns false.
func (c *call) readBody() bool {
	if c.r.ContentLength == 0 {
		return true
	}
	limit := int64(c.cfg.Limits.Body)
	if limit <= 0 {
		limit = maxBufferedBody
	}
	if c.r.ContentLength > limit {
		c.respondError(http.StatusRequestEntityTooLarge, reasonBody)
		return false
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.arrived.Add(c.timeout())) // not every test's writer has deadlines
	stop := context.AfterFunc(c.gateway.stopping(), func() { _ = control.SetReadDeadline(time.Now()) })
	defer stop()
	body, err := c.holding.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		c.body = body
		return true
	}
	c.respondBody(err)
	return false
}

// respondBody responds to a request whose body could not be read. It has not run.
func (c *call) respondBody(err error) {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		c.respondError(http.StatusRequestEntityTooLarge, reasonBody)
	case errors.Is(err, memory.ErrFull):
		memoryRefusalsTotal.Inc()
		c.gateway.Log.Info("no memory for the body of a request",
			zap.String("request", string(c.requestInfo.ID)),
			zap.Int64("length", c.r.ContentLength),
			zap.Int64("held", int64(c.gateway.Memory.Held())),
			zap.Int64("bound", int64(c.gateway.Memory.Bound)))
		c.w.Header().Set("Connection", "close") // the rest of the body is not read
		c.respondUnavailable(reasonMemory, spreadBefore(retryAfterMemory))
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		if c.gateway.stopping().Err() != nil {
			c.respondUnavailable(reasonStopping, retryAfterElsewhere)
			return
		}
		c.respondUnavailable(reasonTimeout, retryAfterQueue)
	default:
		c.respondError(http.StatusBadRequest, reasonBody)
	}
}
