package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"
)

// streamBuffer is the size of the read buffer of a stream in bytes.
const streamBuffer = 512

// Codes that end a stream or a connection early.
const (
	codeCanceled quic.StreamErrorCode      = 1
	codeClosed   quic.ApplicationErrorCode = 0
)

// Kind names what a stream is for.
type Kind string

// hello is the first message of each stream.
type hello struct {
	Kind Kind `cbor:"1,keyasint"`
}

// Stream is one exchange of messages with a peer. One goroutine may send while
// another receives.
type Stream struct {
	quic   transport
	reader *bufio.Reader
	// watched is closed once the peer has ended its side; nil without Watch.
	watched chan struct{}
}

// newStream wraps a QUIC stream or an end of a Pipe.
func newStream(s transport) *Stream {
	return &Stream{
		quic:   s,
		reader: bufio.NewReaderSize(s, streamBuffer),
	}
}

// Context ends when the stream ends in either direction.
func (s *Stream) Context() context.Context {
	return s.quic.Context()
}

// Send sends one message.
func (s *Stream) Send(v any) error {
	err := Write(s.quic, v)
	if err != nil && !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return err
}

// Receive receives one message into v. It returns io.EOF after the last one.
func (s *Stream) Receive(v any) error {
	err := Read(s.reader, v)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return err
}

// SetReadDeadline sets the time after which Receive fails.
func (s *Stream) SetReadDeadline(t time.Time) error {
	return s.quic.SetReadDeadline(t)
}

// CloseSend tells the peer that no more messages come.
func (s *Stream) CloseSend() error {
	return s.quic.Close()
}

// Cancel ends the stream in both directions at once.
func (s *Stream) Cancel() {
	s.quic.CancelRead(codeCanceled)
	s.quic.CancelWrite(codeCanceled)
}

// Watch calls gone once the peer has ended its side or the connection is lost.
// The caller must not call Receive any more.
func (s *Stream) Watch(gone func()) {
	s.watched = make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, s.reader) // the end is all that counts
		gone()
		close(s.watched)
	}()
}

// finish ends the stream after a handler. It returns once the peer has ended
// its side, as it does when it has taken the last message.
func (s *Stream) finish() {
	_ = s.quic.Close()
	_ = s.quic.SetReadDeadline(time.Now().Add(finishTimeout))
	if s.watched != nil {
		<-s.watched
	} else {
		_, _ = io.Copy(io.Discard, s.reader)
	}
	s.quic.CancelRead(codeCanceled)
}
