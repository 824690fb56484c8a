package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/memory"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"go.uber.org/zap"
)

// contentLength returns the length of a body that a header states, or -1. Lengths beyond
// maxBufferedBody count as unknown.
func contentLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 || n > maxBufferedBody {
		return -1
	}
	return n
}

// relayUnbuffered relays a response for which there is no memory to buffer it, as fast as
// the caller reads it. begun is what has been read of it. A failure is no longer retried
// once the header has been sent; that of an error response is lost.
func (c *call) relayUnbuffered(
	ctx context.Context,
	reservation *dispatch.Reservation,
	lease *exchange.Lease,
	in *exchange.IncomingResponse,
	begun []byte,
) attemptResult {
	if in.Status >= http.StatusInternalServerError || c.stream.headerSent {
		lease.Close()
		c.buffered.Release()
		return c.failed(ctx, reservation, fmt.Errorf("upstream responded with status %d: %w", in.Status, memory.ErrFull))
	}
	unbufferedTotal.Inc()
	c.gateway.Log.Info("response not buffered",
		zap.String("request", string(c.requestInfo.ID)),
		zap.Int64("held", int64(c.gateway.Memory.Held())))
	header := c.w.Header()
	for name, values := range c.gateway.Codec.ResponseHeader(in.Header) {
		header[name] = values
	}
	c.w.WriteHeader(in.Status)
	c.timeToFirstByte = time.Since(c.arrived)
	err := c.write(begun)
	c.buffered.Release()
	if err == nil {
		err = c.copyBody(in.Body)
	}
	if errors.Is(err, errBrokenOff) {
		lease.Close()
		c.stream.headerSent = true
		_ = c.failed(ctx, reservation, err) // part of it was sent: no retry
		return resultGiveUp
	}
	if err != nil {
		lease.Close()
		c.stream.headerSent = true
		reservation.Release(dispatch.Report{}) // inconclusive
		return resultGiveUp
	}
	if quarantine.Survived(in.Status) {
		c.gateway.Quarantine.Served(c.subject)
	}
	lease.Finish(in)
	reservation.Release(dispatch.Report{Outcome: dispatch.Answered})
	c.finish(in.Status, reasonServed)
	return resultServed
}

// copyBody sends a body to the caller as it comes. The error wraps errBrokenOff if the
// upstream broke off.
func (c *call) copyBody(body io.Reader) error {
	buffer := make([]byte, maxWrite)
	for {
		n, err := body.Read(buffer)
		writeErr := c.write(buffer[:n])
		switch {
		case writeErr != nil:
			return writeErr
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("%w: %w", errBrokenOff, err)
		}
	}
}
