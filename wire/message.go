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

// MaxMessageSize is the maximum length of an encoded message in bytes.
const MaxMessageSize = 1 << 20

// lengthSize is the size in bytes of the length that precedes a message.
const lengthSize = 4

// Errors of this package. Test for them with errors.Is.
var (
	// ErrTooLong means that a message is longer than MaxMessageSize.
	ErrTooLong = errors.New("message too long")
	// ErrMalformed means that a value cannot be encoded, that a message cannot be decoded
	// into the expected type, or that reading failed after the length of a message, for
	// whatever reason.
	ErrMalformed = errors.New("malformed message")
	// ErrClosed means that writing failed, or that reading failed before or within the
	// length of a message, because the stream was closed by either side, timed out or
	// lost its connection.
	ErrClosed = errors.New("stream closed")
	// ErrUnreachable means that no connection or stream to the peer could be
	// opened. The peer has not received any message of the exchange.
	ErrUnreachable = errors.New("peer unreachable")
)

// decMode is the decoding mode of all messages. It rejects encodings that no process
// of the system produces.
var decMode = mustDecMode()

// mustDecMode returns the decoding mode. It panics if the options, which are
// constant, are invalid.
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

// Marshal returns the encoding of v without the length prefix.
func Marshal(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return data, nil
}

// Unmarshal decodes one message without the length prefix into v.
func Unmarshal(data []byte, v any) error {
	err := decMode.Unmarshal(data, v)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// maxPooledSize is the capacity in bytes above which a buffer is not reused.
const maxPooledSize = 64 << 10

// buffers holds the buffers to encode and decode messages in.
var buffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// newBuffer returns an empty buffer from the pool.
func newBuffer() *bytes.Buffer {
	buffer, _ := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	return buffer
}

// releaseBuffer returns a buffer to the pool unless it has grown too large.
func releaseBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledSize {
		buffers.Put(buffer)
	}
}

// Write writes the length and the encoding of v to w in one call of w.Write.
func Write(w io.Writer, v any) error {
	buffer := newBuffer()
	defer releaseBuffer(buffer)
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

// heartbeat is a message of length zero, which readers skip.
var heartbeat [lengthSize]byte

// Read reads one message with its length prefix from r into v and skips the
// heartbeats before it. v does not refer to the read buffer afterwards. If reading fails
// before or within the length, Read returns the error of r, io.EOF at the end of r or
// io.ErrUnexpectedEOF if the length is truncated. Its other errors are ErrTooLong and
// ErrMalformed.
func Read(r io.Reader, v any) error {
	return read(r, v, func() {})
}

// read reads one message into v and calls onHeartbeat for each heartbeat before it.
func read(r io.Reader, v any, onHeartbeat func()) error {
	n := uint32(0)
	for n == 0 {
		var length [lengthSize]byte
		_, err := io.ReadFull(r, length[:])
		if err != nil {
			return err
		}
		n = binary.BigEndian.Uint32(length[:])
		if n == 0 {
			onHeartbeat()
		}
	}
	if n > MaxMessageSize {
		return fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	buffer := newBuffer()
	defer releaseBuffer(buffer)
	buffer.Grow(int(n))
	data := buffer.AvailableBuffer()[:n]
	_, err := io.ReadFull(r, data)
	if err != nil {
		return fmt.Errorf("%w: cut short: %w", ErrMalformed, err)
	}
	return Unmarshal(data, v)
}
