package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"sync"

	"github.com/foxtailstack/foxtailstack"
	"github.com/zeebo/xxh3"
)

const (
	// chunkSize is the size of the largest piece of an answer in bytes.
	chunkSize = 16 << 10
	// typeEvents is the media type of server-sent events.
	typeEvents = "text/event-stream"
)

// chunks holds the buffers of pieces of answers.
var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// transfer sends the answer of the engine on to the entry.
type transfer struct {
	attempt *attempt
	sum     xxh3.Hasher
	length  uint64
	// begun is set once the engine has sent the head of its answer.
	begun bool
	// lost is the error by which the entry was lost.
	lost error
	// head is the head of the answer until it is sent.
	head *Head
	// held is the piece of the body that is sent with the next or with the end.
	held []byte
	// last is the number of the last event sent.
	last uint64
	// unnumbered is set once an event with data had no number, after which the
	// stream can't resume.
	unnumbered bool
	done       bool
	// own is how the data of the attempt's events begin, if they bear its id.
	own []byte
}

// run sends the whole answer. An answer that the engine cut short is an error.
//
// The last event of a stream goes into one frame with the end: were it to
// arrive without, the stream would resume and end twice.
func (t *transfer) run(answer foxtailstack.EngineAnswer) error {
	defer answer.Body.Close()
	t.begun = true
	a := t.attempt
	a.booked.answer.Status = answer.Status
	a.booked.answer.ContentType = answer.ContentType
	t.head = &Head{
		Status:      answer.Status,
		ContentType: answer.ContentType,
	}
	kind, _, _ := mime.ParseMediaType(answer.ContentType)
	var err error
	if kind == typeEvents {
		err = t.events(answer.Body)
	} else {
		chunk, _ := chunks.Get().(*[chunkSize]byte)
		defer chunks.Put(chunk)
		err = t.bytes(answer.Body, chunk[:])
	}
	if err == nil {
		err = a.conclude()
	}
	if err != nil {
		return err
	}
	return t.send(t.held, &End{
		Length:   t.length,
		Checksum: t.sum.Sum64(),
	})
}

// bytes sends a body that has no parts, the last piece with the end.
func (t *transfer) bytes(body io.Reader, buffer []byte) error {
	for {
		n, err := fill(body, buffer)
		t.count(buffer[:n])
		if errors.Is(err, io.EOF) {
			t.held = buffer[:n]
			return nil
		}
		if err != nil {
			return engineError(err)
		}
		err = t.send(buffer, nil)
		if err != nil {
			return err
		}
	}
}

// fill reads until buffer is full or the body ends. Unlike io.ReadFull it
// returns the error of the body itself.
func fill(body io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := body.Read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// events sends a body of server-sent events, a whole event at a time.
func (t *transfer) events(body io.Reader) error {
	t.last = t.attempt.open.ReceivedEvents
	t.own = []byte(`{"id":"` + t.attempt.id.String() + `"`)
	reader := NewEventReader(body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, ErrEventTruncated) || errors.Is(err, ErrEventTooLong) {
			return fmt.Errorf("%w: %w", foxtailstack.ErrEngineFailed, err)
		}
		if err != nil {
			return engineError(err)
		}
		err = t.check(event)
		if err != nil {
			return err
		}
		t.count(event.Raw)
		if t.done {
			t.held = bytes.Clone(event.Raw)
			continue
		}
		err = t.send(event.Raw, nil)
		if err != nil {
			return err
		}
	}
	if t.attempt.open.ModelEngine && !t.done {
		return fmt.Errorf("%w: stream ended without %s", foxtailstack.ErrEngineFailed, doneData)
	}
	return nil
}

// check checks that an event belongs to the attempt and is the next one.
func (t *transfer) check(event Event) error {
	if t.done {
		return fmt.Errorf("%w: event behind the last one", foxtailstack.ErrEngineMismatch)
	}
	if event.Done() {
		t.done = true
		return nil
	}
	if !t.owns(event.Data) {
		return fmt.Errorf("%w: event of another attempt", foxtailstack.ErrEngineMismatch)
	}
	if event.ID == 0 {
		t.unnumbered = t.unnumbered || len(event.Data) > 0
		return nil
	}
	if event.ID != t.last+1 {
		return fmt.Errorf("%w: event %d after %d", foxtailstack.ErrEngineMismatch, event.ID, t.last)
	}
	t.last = event.ID
	return nil
}

// count adds a piece of the body to the sum and to the record.
func (t *transfer) count(data []byte) {
	_, _ = t.sum.Write(data) // never fails
	t.length += uint64(len(data))
	t.attempt.keep(data)
}

// send sends a piece of the body, behind the head if that is not sent yet. It
// returns the error by which the entry was lost unless the attempt has to be
// finished in any case.
func (t *transfer) send(data []byte, end *End) error {
	if t.lost == nil {
		frame := Frame{
			Head: t.head,
			Data: data,
			End:  end,
		}
		if !t.unnumbered {
			frame.LastEventID = t.last
		}
		t.lost = t.attempt.send(frame)
		t.head = nil
	}
	if t.attempt.run == nil {
		return t.lost
	}
	return nil
}

// owns reports whether the data of an event bears the attempt's id, or none.
func (t *transfer) owns(data []byte) bool {
	if bytes.HasPrefix(data, t.own) {
		return true
	}
	var chunk struct {
		ID *string `json:"id"`
	}
	if json.Unmarshal(data, &chunk) != nil || chunk.ID == nil {
		return true
	}
	return *chunk.ID == t.attempt.id.String()
}
