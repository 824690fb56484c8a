package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/memory"
	"github.com/foxtailstack/foxtailstack/quarantine"
)

// Errors of responses. After each of them the request may have run.
var (
	errUnproven     = errors.New("response lacks the upstream's proof of origin or has a content encoding")
	errTooLong      = errors.New("response is longer than can be buffered")
	errBrokenOff    = errors.New("response broke off")
	errFalseRefusal = errors.New("upstream refused a request without stating that it has not run")
)

// refuses reports whether a status tells callers that their request has not run.
func refuses(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// bufferedResponse is a response whose body was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the caller.
func (b *bufferedResponse) write(c *call) {
	header := c.w.Header()
	for name, values := range c.gateway.Codec.ResponseHeader(b.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(b.body)))
	c.w.WriteHeader(b.status)
	_ = c.write(b.body) // the caller may have disconnected
}

// relay relays the response of an upstream that may have run the request. It
// buffers responses that are not streams, so that a truncated one can be retried.
func (c *call) relay(
	ctx context.Context,
	reservation *dispatch.Reservation,
	lease *exchange.Lease,
	in *exchange.IncomingResponse,
	began time.Time,
) attemptResult {
	success := in.Status/100 == 2
	if success && (!in.OriginProven || in.ContentEncoded) {
		lease.Close()
		return c.failed(ctx, reservation, errUnproven)
	}
	if refuses(in.Status) && !c.route.Idempotent() {
		lease.Close()
		return c.failed(ctx, reservation, fmt.Errorf("%w: status %d", errFalseRefusal, in.Status))
	}
	if success && isStream(in.Header) {
		return c.relayStream(ctx, reservation, lease, in, began)
	}
	body, err := c.buffered.ReadAll(io.LimitReader(in.Body, maxBufferedBody), contentLength(in.Header))
	if errors.Is(err, memory.ErrFull) {
		return c.relayUnbuffered(ctx, reservation, lease, in, body)
	}
	if err != nil {
		lease.Close()
		c.buffered.Release()
		return c.failed(ctx, reservation, fmt.Errorf("%w: %w", errBrokenOff, err))
	}
	if len(body) == maxBufferedBody {
		lease.Close()
		c.buffered.Release()
		c.responseTooLong = true
		return c.failed(ctx, reservation, errTooLong)
	}
	if quarantine.Survived(in.Status) {
		c.gateway.Quarantine.Served(c.subject)
	}
	lease.Finish(in)
	response := &bufferedResponse{
		status: in.Status,
		header: in.Header,
		body:   body,
	}
	if in.Status < http.StatusInternalServerError && !c.stream.headerSent {
		reservation.Release(dispatch.Report{
			Outcome:      dispatch.Answered,
			ResponseTime: time.Since(began),
		})
		c.timeToFirstByte = time.Since(c.arrived)
		if success {
			c.gateway.serviceTimes.observe(c.route.Name, time.Since(began))
		}
		response.write(c)
		c.finish(in.Status, reasonServed)
		return resultServed
	}
	if in.OriginProven {
		c.lastFailure = response
	}
	return c.failed(ctx, reservation, fmt.Errorf("upstream responded with status %d", in.Status))
}

// isStream reports whether a response is a stream of server-sent events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayStream relays events until the stream ends or breaks.
func (c *call) relayStream(
	ctx context.Context,
	reservation *dispatch.Reservation,
	lease *exchange.Lease,
	in *exchange.IncomingResponse,
	began time.Time,
) attemptResult {
	resumed := c.stream.begun()
	if resumed && in.Status != http.StatusOK {
		lease.Close()
		return c.failed(ctx, reservation, fmt.Errorf("%w: status %d", errNotResumed, in.Status))
	}
	reservation.ResponseStarted()
	reader := newEventReader(in.Body, c.incoming)
	lastEventID := c.stream.lastEventID
	for {
		event, err := reader.next()
		if errors.Is(err, io.EOF) && resumed && c.stream.lastEventID == lastEventID {
			err = errNotResumed // it cannot be told from a stream that is not whole
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil && resumed && c.stream.lastEventID == lastEventID {
			err = c.stream.checkResumed(event)
		}
		if err != nil {
			lease.Close()
			return c.failed(ctx, reservation, brokenOff(err))
		}
		if event.hasContent {
			c.recordBegun()
		}
		if !c.sendEvent(event, in) {
			lease.Close()
			reservation.Release(dispatch.Report{}) // inconclusive
			return resultGiveUp
		}
	}
	lease.Finish(in)
	c.gateway.Quarantine.Served(c.subject)
	reservation.Release(dispatch.Report{Outcome: dispatch.Answered})
	if !c.stream.headerSent {
		c.startStream(in)
	}
	if !resumed {
		c.gateway.serviceTimes.observe(c.route.Name, time.Since(began))
	}
	c.finish(in.Status, reasonServed)
	return resultServed
}

// brokenOff returns the error of a stream that ended early. One that passed a bound was ended
// here: that is no sign of a crash.
func brokenOff(err error) error {
	if passedBound(err) != "" {
		return err
	}
	return fmt.Errorf("%w: %w", errBrokenOff, err)
}

// startStream sends the header of a stream to the caller.
func (c *call) startStream(in *exchange.IncomingResponse) {
	header := c.w.Header()
	for name, values := range c.gateway.Codec.ResponseHeader(in.Header) {
		header[name] = values
	}
	c.w.WriteHeader(in.Status)
	c.stream.headerSent = true
	c.timeToFirstByte = time.Since(c.arrived)
}

// sendEvent sends an event to the caller unless it has been sent already. It
// reports whether the caller is still connected.
func (c *call) sendEvent(e event, in *exchange.IncomingResponse) bool {
	if !c.stream.headerSent {
		c.startStream(in)
	}
	if e.id > 0 && e.id <= c.stream.lastEventID {
		return true
	}
	err := c.write(e.raw)
	if err == nil {
		err = c.flush()
	}
	if !e.hasContent {
		return err == nil
	}
	eventsTotal.Inc()
	c.recordProgress(true)
	gap, ok := c.stream.recordEvent(e.id, time.Now())
	if ok && c.cfg.Services[c.service].Group != nil {
		c.gateway.Scheduler.ObserveEventGap(c.service, c.upstream, gap)
	}
	return err == nil
}
