package gateway

import (
	"bufio"
	"bytes"
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
)

const (
	// eventBuffer is the size of the buffer for one event in bytes.
	eventBuffer = 1 << 10
	// maxEvent is the length of the longest event in bytes.
	maxEvent = 1 << 20
)

// Errors of answers. After both of them the request may have run.
var (
	errUnproven = errors.New("answer lacks the proof of the upstream or is encoded")
	errEvent    = errors.New("stream ended within an event")
)

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// write sends the answer to the caller.
func (a *whole) write(c *call) {
	header := c.w.Header()
	for name, values := range c.gateway.Codec.ResponseHeader(a.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body) // the caller may have left
}

// stream is the state of a stream towards the caller.
type stream struct {
	// begun tells that the header has been sent.
	begun bool
	// lastEvent is the number of the last event that was sent.
	lastEvent int64
	// wrote is when something was last sent, gap the longest pause between events.
	wrote time.Time
	gap   time.Duration
}

// relay brings the answer of an upstream that runs the request to the caller.
func (c *call) relay(
	ctx context.Context,
	ticket *dispatch.Reservation,
	conn *exchange.Conn,
	in *exchange.IncomingResponse,
	began time.Time,
) verdict {
	success := in.Status/100 == 2
	if success && (!in.OriginProven || in.ContentEncoded) {
		conn.Close()
		return c.failed(ctx, ticket, errUnproven)
	}
	if success && isStream(in.Header) {
		return c.relayStream(ctx, ticket, conn, in)
	}
	body, err := io.ReadAll(io.LimitReader(in.Body, maxWhole))
	if err != nil || len(body) == maxWhole {
		conn.Close()
		return c.failed(ctx, ticket, fmt.Errorf("read the body: %w", err))
	}
	in.Finish(c.gateway.Pool, ticket.Upstream.Name, conn)
	answer := &whole{
		status: in.Status,
		header: in.Header,
		body:   body,
	}
	if in.Status < http.StatusInternalServerError && !c.stream.begun {
		ticket.Release(dispatch.Report{
			Outcome:      dispatch.Answered,
			ResponseTime: time.Since(began),
		})
		c.first = time.Since(c.arrived)
		answer.write(c)
		c.finish(in.Status, reasonServed)
		return done
	}
	if in.OriginProven {
		c.last = answer
	}
	return c.failed(ctx, ticket, fmt.Errorf("upstream answered with status %d", in.Status))
}

// isStream reports whether an answer is a series of events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayStream relays events until the stream ends or breaks.
func (c *call) relayStream(
	ctx context.Context,
	ticket *dispatch.Reservation,
	conn *exchange.Conn,
	in *exchange.IncomingResponse,
) verdict {
	ticket.ResponseStarted()
	reader := bufio.NewReaderSize(in.Body, eventBuffer)
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			conn.Close()
			return c.failed(ctx, ticket, fmt.Errorf("stream broke: %w", err))
		}
		if !c.sendEvent(event, in.Header) {
			conn.Close()
			ticket.Release(dispatch.Report{})
			return gone
		}
	}
	in.Finish(c.gateway.Pool, ticket.Upstream.Name, conn)
	ticket.Release(dispatch.Report{Outcome: dispatch.Answered})
	if !c.stream.begun {
		c.begin(in.Header)
	}
	c.finish(in.Status, reasonServed)
	return done
}

// begin sends the header of a stream.
func (c *call) begin(upstream http.Header) {
	header := c.w.Header()
	for name, values := range c.gateway.Codec.ResponseHeader(upstream) {
		header[name] = values
	}
	c.w.WriteHeader(http.StatusOK)
	c.stream.begun = true
	c.first = time.Since(c.arrived)
}

// sendEvent sends one event, unless the caller has it. It reports whether the
// caller is still there.
func (c *call) sendEvent(e event, upstream http.Header) bool {
	if !c.stream.begun {
		c.begin(upstream)
	}
	if e.id > 0 && e.id <= c.stream.lastEvent {
		return true
	}
	eventsTotal.Inc()
	c.progressed(true)
	_, err := c.w.Write(e.text)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	pause, ok := c.stream.count(e.id, time.Now())
	if ok && c.cfg.Services[c.service].Group != nil {
		c.gateway.Scheduler.ObserveEventGap(c.service, pause)
	}
	return err == nil
}

// count records that an event was sent, and returns the pause before it unless it
// is the first.
func (s *stream) count(id int64, now time.Time) (time.Duration, bool) {
	s.lastEvent = max(id, s.lastEvent)
	pause, ok := s.idle(now)
	s.gap = max(s.gap, pause)
	s.wrote = now
	return pause, ok
}

// idle returns the time since the last event, if there was one.
func (s *stream) idle(now time.Time) (time.Duration, bool) {
	if s.wrote.IsZero() {
		return 0, false
	}
	return now.Sub(s.wrote), true
}

// event is one event of a stream as it was received.
type event struct {
	id   int64
	text []byte
}

// readEvent reads up to and with the next blank line. It returns io.EOF at the
// end of the stream and errEvent if that comes within an event.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadSlice('\n')
		e.text = append(e.text, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.text) > maxEvent {
				return e, errEvent
			}
			continue
		case errors.Is(err, io.EOF) && len(e.text) == 0:
			return e, io.EOF
		case errors.Is(err, io.EOF):
			return e, errEvent
		case err != nil:
			return e, err
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			return e, nil
		}
		id, ok := bytes.CutPrefix(field, []byte("id:"))
		if ok {
			e.id, _ = strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64) // zero is no number
		}
	}
}
