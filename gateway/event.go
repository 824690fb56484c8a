package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/foxtailstack/foxtailstack/memory"
)

const (
	// eventBuffer is the size in bytes of the read buffer for events, and of the part of an
	// event that needs no account.
	eventBuffer = 1 << 10
	// maxEvent is the length in bytes above which an event is rejected, whatever lines it
	// has.
	maxEvent = 1 << 20
)

// Errors of streams.
var (
	errTruncatedEvent = errors.New("stream ended within an event")
	errEventTooLong   = errors.New("event of a stream is too long")
)

// event is one server-sent event with its bytes as received. They are valid until the next
// event is read.
type event struct {
	id  int64
	raw []byte
	// hasContent is set if the event has an ID or data, as opposed to a comment that only
	// keeps the connection open.
	hasContent bool
}

// eventReader reads the events of a stream. What it collects of an event beyond eventBuffer
// is taken from holding.
type eventReader struct {
	r       *bufio.Reader
	holding *memory.Holding
	// raw is the buffer of the current event.
	raw []byte
}

// newEventReader returns a reader of the events in a body.
func newEventReader(body io.Reader, holding *memory.Holding) *eventReader {
	return &eventReader{
		r:       bufio.NewReaderSize(body, eventBuffer),
		holding: holding,
		raw:     make([]byte, 0, eventBuffer),
	}
}

// next reads up to and including the next blank line. It returns io.EOF at the end of the
// stream, errTruncatedEvent if the stream ends within an event, errEventTooLong if the event
// is longer than maxEvent, and memory.ErrFull if there is no memory for it.
func (r *eventReader) next() (event, error) {
	r.reset()
	var e event
	for {
		line, err := r.r.ReadSlice('\n')
		addErr := r.add(line)
		e.raw = r.raw
		switch {
		case addErr != nil:
			return e, addErr
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.raw) == 0:
			return e, io.EOF
		case errors.Is(err, io.EOF):
			return e, errTruncatedEvent
		case err != nil:
			return e, err
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			return e, nil
		}
		e.addField(field)
	}
}

// addField records what a line of the event says of it.
func (e *event) addField(line []byte) {
	e.hasContent = e.hasContent || bytes.HasPrefix(line, []byte("data")) || bytes.HasPrefix(line, []byte("id:"))
	id, ok := bytes.CutPrefix(line, []byte("id:"))
	if ok {
		e.id, _ = strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64) // invalid IDs become zero, which means none
	}
}

// reset gives back what a long event has taken.
func (r *eventReader) reset() {
	if cap(r.raw) > eventBuffer {
		r.holding.Give(cap(r.raw))
		r.raw = make([]byte, 0, eventBuffer)
	}
	r.raw = r.raw[:0]
}

// add adds a part of a line to the event. While the buffer is copied, both copies are taken.
func (r *eventReader) add(line []byte) error {
	size := len(r.raw) + len(line)
	if size > maxEvent {
		return errEventTooLong
	}
	if size <= cap(r.raw) {
		r.raw = append(r.raw, line...)
		return nil
	}
	grown := max(2*cap(r.raw), size)
	if !r.holding.Take(grown) {
		return memory.ErrFull
	}
	raw := append(make([]byte, 0, grown), r.raw...)
	if cap(r.raw) > eventBuffer {
		r.holding.Give(cap(r.raw))
	}
	r.raw = append(raw, line...)
	return nil
}
