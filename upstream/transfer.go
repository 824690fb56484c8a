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
	// chunkSize is the maximum size of the data in a frame in bytes, except for events.
	chunkSize = 16 << 10
	// typeEvents is the media type of server-sent events.
	typeEvents = "text/event-stream"
)

// chunks is a pool of buffers for pieces of response bodies.
var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// transfer copies the response of the engine to the entry.
type transfer struct {
	attempt  *attempt
	checksum xxh3.Hasher
	length   uint64
	// engineResponded is set once the engine has sent the head of its response.
	engineResponded bool
	// entryErr is the first error of sending to the entry.
	entryErr error
	// pendingHead is the head of the response until it has been sent.
	pendingHead *Head
	// pendingData is the last piece of the body, which is sent in one frame with the end.
	pendingData []byte
	// lastEventID is the number of the last numbered event read from the engine; initially
	// Open.ReceivedEvents.
	lastEventID uint64
	// unnumbered is set once an event with data had no number. The stream cannot be
	// resumed from then on.
	unnumbered bool
	// done is set once a [DONE] event has been read.
	done bool
	// idPrefix is the start of the data of events that carry the id of the attempt.
	idPrefix []byte
}

// run copies the whole response. It returns an error if the response is truncated,
// malformed or that of another attempt, or if it cannot be sent to the entry. For an
// attempt under a claim it returns an error unless the response is written to the table
// (see awaitWritten); a failure to send to the entry is none then.
//
// The [DONE] event is sent in one frame with the end. If it arrived without the end,
// the entry would resume the stream and the caller would receive two ends.
func (t *transfer) run(response foxtailstack.EngineAnswer) error {
	defer response.Body.Close()
	t.engineResponded = true
	a := t.attempt
	a.claim.response.Status = response.Status
	a.claim.response.ContentType = response.ContentType
	t.pendingHead = &Head{
		Status:      response.Status,
		ContentType: response.ContentType,
	}
	kind, _, _ := mime.ParseMediaType(response.ContentType)
	var err error
	if kind == typeEvents {
		err = t.sendEvents(response.Body)
	} else {
		chunk, _ := chunks.Get().(*[chunkSize]byte)
		defer chunks.Put(chunk)
		err = t.sendBytes(response.Body, chunk[:])
	}
	if err == nil {
		err = a.awaitWritten()
	}
	if err != nil {
		return err
	}
	a.recordEvent(EventEnd, "") // before the entry learns of it, so that its answer follows
	return t.send(t.pendingData, &End{
		Length:   t.length,
		Checksum: t.checksum.Sum64(),
	})
}

// sendBytes copies a body that is not an event stream. The last piece is left in
// pendingData.
func (t *transfer) sendBytes(body io.Reader, buffer []byte) error {
	for {
		n, err := fill(body, buffer)
		t.addData(buffer[:n])
		if errors.Is(err, io.EOF) {
			t.pendingData = buffer[:n]
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

// fill reads until buffer is full or the body ends. Unlike io.ReadFull it returns the
// error of the body unchanged.
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

// sendEvents copies a body of server-sent events, one event at a time. The [DONE] event
// is left in pendingData; only a model engine has to send one.
func (t *transfer) sendEvents(body io.Reader) error {
	t.lastEventID = t.attempt.open.ReceivedEvents
	t.idPrefix = []byte(`{"id":"` + t.attempt.id.String() + `"`)
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
		err = t.checkEvent(event)
		if err != nil {
			return err
		}
		t.addData(event.Raw)
		if t.done {
			t.pendingData = bytes.Clone(event.Raw)
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

// checkEvent returns ErrEngineMismatch if an event belongs to another attempt or is out
// of sequence.
func (t *transfer) checkEvent(event Event) error {
	if t.done {
		return fmt.Errorf("%w: event behind the last one", foxtailstack.ErrEngineMismatch)
	}
	if event.Done() {
		t.done = true
		return nil
	}
	if !t.ownsEvent(event.Data) {
		return fmt.Errorf("%w: event of another attempt", foxtailstack.ErrEngineMismatch)
	}
	if event.ID == 0 {
		t.unnumbered = t.unnumbered || len(event.Data) > 0
		return nil
	}
	if event.ID != t.lastEventID+1 {
		return fmt.Errorf("%w: event %d after %d", foxtailstack.ErrEngineMismatch, event.ID, t.lastEventID)
	}
	t.lastEventID = event.ID
	return nil
}

// addData adds a piece of the body to the checksum and the length and, for an attempt
// under a claim, to the response to be written to the table.
func (t *transfer) addData(data []byte) {
	_, _ = t.checksum.Write(data) // never fails
	t.length += uint64(len(data))
	t.attempt.keepBody(data)
}

// send sends a piece of the body, together with the head if that is pending. It returns
// the first error of sending to the entry, but nil for an attempt under a claim, which is
// completed even if the entry has disconnected.
func (t *transfer) send(data []byte, end *End) error {
	if t.entryErr == nil {
		frame := Frame{
			Head: t.pendingHead,
			Data: data,
			End:  end,
		}
		if !t.unnumbered {
			frame.LastEventID = t.lastEventID
		}
		t.entryErr = t.attempt.send(frame)
		t.pendingHead = nil
	}
	if t.attempt.run == nil {
		return t.entryErr
	}
	return nil
}

// ownsEvent reports whether the data of an event carry the id of the attempt or no id.
func (t *transfer) ownsEvent(data []byte) bool {
	if bytes.HasPrefix(data, t.idPrefix) {
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
