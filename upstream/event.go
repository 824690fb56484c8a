package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// eventBuffer is the size of the read buffer of a stream in bytes.
const eventBuffer = 4 << 10

// maxEvent is the length of the longest event in bytes.
const maxEvent = 256 << 10

// doneData is the data of the event that ends the stream of a model engine.
const doneData = "[DONE]"

// Errors of an EventReader. Test for them with errors.Is.
var (
	// ErrEventTooLong means that an event is longer than 256 KiB.
	ErrEventTooLong = errors.New("event too long")
	// ErrEventTruncated means that the stream ended within an event.
	ErrEventTruncated = errors.New("stream ended within an event")
)

// Event is one server-sent event. Its slices are valid until the next one is
// read.
type Event struct {
	// Raw is the event as it was sent, with the blank line behind it.
	Raw []byte
	// Data is the text of all data fields, joined by line feeds.
	Data []byte
	// ID is the number in the id field; zero if there is none.
	ID uint64
}

// Done reports whether the event ends the stream of a model engine.
func (e Event) Done() bool {
	return string(e.Data) == doneData
}

// EventReader reads server-sent events as the HTML standard defines them, with
// lines that end in LF or CR LF.
type EventReader struct {
	reader *bufio.Reader
	raw    []byte
	data   []byte
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next event. It returns io.EOF at the end of the stream and
// ErrEventCut if that is within an event.
func (r *EventReader) Next() (Event, error) {
	r.raw = r.raw[:0]
	r.data = r.data[:0]
	event := Event{}
	fields := 0
	for {
		line, err := r.line()
		if errors.Is(err, io.EOF) && len(r.raw) > 0 {
			return Event{}, ErrEventTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 && fields > 0 {
			event.Raw = r.raw
			event.Data = r.data
			return event, nil
		}
		if len(line) == 0 {
			r.raw = r.raw[:0] // blank lines between events mean nothing
			continue
		}
		fields++
		r.field(&event, line)
	}
}

// Buffered reports whether more of the stream has arrived.
func (r *EventReader) Buffered() bool {
	return r.reader.Buffered() > 0
}

// line reads one line into r.raw and returns it without its end.
func (r *EventReader) line() ([]byte, error) {
	begin := len(r.raw)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEvent {
			return nil, fmt.Errorf("%w: %d bytes", ErrEventTooLong, len(r.raw))
		}
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
	line := bytes.TrimSuffix(r.raw[begin:], []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// field takes one line of an event.
func (r *EventReader) field(event *Event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	case "id":
		event.ID, _ = strconv.ParseUint(string(value), 10, 64) // other ids do not order events
	}
}
