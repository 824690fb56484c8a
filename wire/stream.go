package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
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
	// silence is the longest time that Receive waits for the peer; zero means
	// no limit.
	silence time.Duration
	// heard and silent are called when something has been received and once
	// nothing has for that long; both are nil without a limit.
	heard  func()
	silent func()

	// mu orders messages and heartbeats.
	mu     sync.Mutex
	sent   time.Time
	closed bool

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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = time.Now()
	err := Write(s.quic, v)
	if err != nil && !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return err
}

// Receive receives one message into v. It returns io.EOF after the last one.
func (s *Stream) Receive(v any) error {
	s.extend()
	err := read(s.reader, v, s.alive)
	if err == nil {
		s.alive()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && s.silence > 0 {
		s.silent()
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return err
}

// alive takes note that something has been received.
func (s *Stream) alive() {
	if s.heard != nil {
		s.heard()
	}
	s.extend()
}

// extend lets the peer be silent from now on for as long as the limit allows.
func (s *Stream) extend() {
	if s.silence > 0 {
		_ = s.quic.SetReadDeadline(time.Now().Add(s.silence))
	}
}

// SetReadDeadline sets the time after which Receive fails, in place of the limit
// on the silence of the peer.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.silence = 0
	return s.quic.SetReadDeadline(t)
}

// beat sends a heartbeat unless a message has been sent within d or the stream
// has ended. It reports whether the stream goes on.
func (s *Stream) beat(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if time.Since(s.sent) < d {
		return true
	}
	_, err := s.quic.Write(heartbeat[:])
	return err == nil
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

// OnPeerClose calls gone once the peer has ended its side or the connection is lost.
// The caller must not call Receive any more.
func (s *Stream) OnPeerClose(gone func()) {
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
	s.mu.Lock()
	s.closed = true
	_ = s.quic.Close()
	s.mu.Unlock()
	_ = s.quic.SetReadDeadline(time.Now().Add(finishTimeout))
	if s.watched != nil {
		<-s.watched
	} else {
		_, _ = io.Copy(io.Discard, s.reader)
	}
	s.quic.CancelRead(codeCanceled)
}
