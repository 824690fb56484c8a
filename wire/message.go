package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageSize is the length of the longest message in bytes.
const MaxMessageSize = 1 << 20

// lengthSize is the size of the length before a message in bytes.
const lengthSize = 4

// Errors of this package. Test for them with errors.Is.
var (
	// ErrTooLong means that a message is longer than MaxMessage.
	ErrTooLong = errors.New("message too long")
	// ErrMalformed means that a message is not what the receiver expects.
	ErrMalformed = errors.New("malformed message")
	// ErrClosed means that the peer or the process has closed the stream.
	ErrClosed = errors.New("stream closed")
	// ErrUnreachable means that no connection to the peer could be made, so
	// that the peer has seen nothing of the exchange.
	ErrUnreachable = errors.New("peer unreachable")
)

// decMode refuses messages that no process of the system writes.
var decMode = mustDecMode()

// mustDecMode returns the decoding mode; the options are constant and valid.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 16,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the encoding of v without a length.
func Marshal(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return data, nil
}

// Unmarshal decodes one message without a length into v.
func Unmarshal(data []byte, v any) error {
	err := decMode.Unmarshal(data, v)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// maxPooled is the capacity of the largest buffer that is used again in bytes.
const maxPooled = 64 << 10

// buffers holds the buffers of messages that have been written or read.
var buffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// newBuffer returns an empty buffer.
func newBuffer() *bytes.Buffer {
	buffer, _ := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	return buffer
}

// release lets a buffer be used again.
func release(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooled {
		buffers.Put(buffer)
	}
}

// Write writes v behind its length to w, in one call of w.Write.
func Write(w io.Writer, v any) error {
	buffer := newBuffer()
	defer release(buffer)
	_, _ = buffer.Write(make([]byte, lengthSize)) // never fails
	err := cbor.MarshalToBuffer(v, buffer)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	framed := buffer.Bytes()
	n := len(framed) - lengthSize
	if n > MaxMessageSize {
		return fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	binary.BigEndian.PutUint32(framed, uint32(n))
	_, err = w.Write(framed)
	return err
}

// heartbeat is an empty message, which readers pass over.
var heartbeat [lengthSize]byte

// Read reads one message with its length from r into v, which keeps nothing of
// the buffer that it was read into. It passes over heartbeats.
func Read(r io.Reader, v any) error {
	return read(r, v, func() {})
}

// read reads one message into v and calls heard at each heartbeat before it.
func read(r io.Reader, v any, heard func()) error {
	n := uint32(0)
	for n == 0 {
		var length [lengthSize]byte
		_, err := io.ReadFull(r, length[:])
		if err != nil {
			return err
		}
		n = binary.BigEndian.Uint32(length[:])
		if n == 0 {
			heard()
		}
	}
	if n > MaxMessageSize {
		return fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	buffer := newBuffer()
	defer release(buffer)
	buffer.Grow(int(n))
	data := buffer.AvailableBuffer()[:n]
	_, err := io.ReadFull(r, data)
	if err != nil {
		return fmt.Errorf("%w: cut short: %w", ErrMalformed, err)
	}
	return Unmarshal(data, v)
}
