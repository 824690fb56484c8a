package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// eventBufferSize is the size of the read buffer of an EventReader in bytes.
const eventBufferSize = 4 << 10

// maxEventSize is the maximum length of an event in bytes.
const maxEventSize = 256 << 10

// doneData is the data of the last event of a stream of a model engine.
const doneData = "[DONE]"

// Errors of an EventReader. Test for them with errors.Is.
var (
	// ErrEventTooLong means that an event is longer than 256 KiB.
	ErrEventTooLong = errors.New("event too long")
	// ErrEventTruncated means that the stream ended within an event.
	ErrEventTruncated = errors.New("stream ended within an event")
)

// Event is a server-sent event. Its slices are valid until the next event is read.
type Event struct {
	// Raw is the event as received, including the blank line that ends it.
	Raw []byte
	// Data is the values of all data fields, joined by line feeds.
	Data []byte
	// ID is the value of the id field; zero if there is none or it is not a number.
	ID uint64
}

// Done reports whether the event is the last of a stream of a model engine.
func (e Event) Done() bool {
	return string(e.Data) == doneData
}

// EventReader reads server-sent events as defined by the HTML standard, with lines
// that end in LF or CR LF.
type EventReader struct {
	reader *bufio.Reader
	raw    []byte
	data   []byte
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, eventBufferSize)}
}

// Next returns the next event. It returns io.EOF at the end of the stream, or
// ErrEventTruncated if the stream ends within an event.
func (r *EventReader) Next() (Event, error) {
	r.raw = r.raw[:0]
	r.data = r.data[:0]
	event := Event{}
	fields := 0
	for {
		line, err := r.readLine()
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
			r.raw = r.raw[:0] // skip blank lines between events
			continue
		}
		fields++
		r.parseField(&event, line)
	}
}

// Buffered reports whether data after the last event have already been read into the
// buffer.
func (r *EventReader) Buffered() bool {
	return r.reader.Buffered() > 0
}

// readLine appends one line to r.raw and returns it without its line end.
func (r *EventReader) readLine() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEventSize {
			return nil, fmt.Errorf("%w: %d bytes", ErrEventTooLong, len(r.raw))
		}
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
	line := bytes.TrimSuffix(r.raw[start:], []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// parseField adds the field in one line to an event. It ignores fields other than data
// and id.
func (r *EventReader) parseField(event *Event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	case "id":
		event.ID, _ = strconv.ParseUint(string(value), 10, 64) // ids that are not numbers are ignored
	}
}
