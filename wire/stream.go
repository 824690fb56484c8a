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

// readBufferSize is the size of the read buffer of a stream in bytes.
const readBufferSize = 512

// Error codes sent to the peer when a stream is canceled or a connection is closed.
const (
	codeCanceled quic.StreamErrorCode      = 1
	codeClosed   quic.ApplicationErrorCode = 0
)

// Kind is the name of the protocol spoken on a stream.
type Kind string

// hello is the first message of each stream. It selects the handler.
type hello struct {
	Kind Kind `cbor:"1,keyasint"`
}

// Stream is a bidirectional stream of messages to a peer. One goroutine may send
// while another receives.
type Stream struct {
	stream quicStream
	reader *bufio.Reader
	// receiveTimeout is the longest time that Receive waits for a message or a
	// heartbeat; zero means no limit.
	receiveTimeout time.Duration
	// onReceive, if not nil, is called for each message or heartbeat received, and
	// onReceiveTimeout when receiveTimeout has passed without any. onReceiveTimeout is
	// not nil if receiveTimeout is set.
	onReceive        func()
	onReceiveTimeout func()

	// mu serializes the writes of messages and heartbeats and guards lastSent and
	// sendClosed.
	mu         sync.Mutex
	lastSent   time.Time
	sendClosed bool

	// peerClosed is closed once the callback of OnPeerClose has returned; nil if
	// OnPeerClose has not been called.
	peerClosed chan struct{}
}

// newStream returns a Stream over a QUIC stream or one end of a Pipe.
func newStream(s quicStream) *Stream {
	return &Stream{
		stream: s,
		reader: bufio.NewReaderSize(s, readBufferSize),
	}
}

// Context returns the context of the underlying stream. It ends when the send side is
// closed or canceled, when the peer cancels its reading, or when the connection is lost.
func (s *Stream) Context() context.Context {
	return s.stream.Context()
}

// Send sends one message. Its error is ErrMalformed or ErrTooLong if v cannot be
// sent, and ErrClosed otherwise.
func (s *Stream) Send(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSent = time.Now()
	err := Write(s.stream, v)
	if err != nil && !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return err
}

// Receive receives one message into v. It returns io.EOF once the peer has closed its
// side and all messages have been received. A stream that ends directly after the length
// of a message gives an ErrMalformed that wraps io.EOF, so test for ErrMalformed first.
// Its other errors are ErrTooLong, ErrMalformed and ErrClosed.
func (s *Stream) Receive(v any) error {
	s.extendReadDeadline()
	err := read(s.reader, v, s.recordReceive)
	if err == nil {
		s.recordReceive()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && s.receiveTimeout > 0 {
		s.onReceiveTimeout()
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return err
}

// recordReceive records that a message or heartbeat has arrived and extends the read
// deadline.
func (s *Stream) recordReceive() {
	if s.onReceive != nil {
		s.onReceive()
	}
	s.extendReadDeadline()
}

// extendReadDeadline moves the read deadline to receiveTimeout from now if receiveTimeout
// is not zero.
func (s *Stream) extendReadDeadline() {
	if s.receiveTimeout > 0 {
		_ = s.stream.SetReadDeadline(time.Now().Add(s.receiveTimeout))
	}
}

// SetReadDeadline sets the time after which Receive fails. It replaces the limit on
// the time between two messages or heartbeats.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.receiveTimeout = 0
	return s.stream.SetReadDeadline(t)
}

// sendHeartbeat sends a heartbeat unless a message has been sent within d or the send
// side is closed. It reports whether the send side is still open.
func (s *Stream) sendHeartbeat(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sendClosed {
		return false
	}
	if time.Since(s.lastSent) < d {
		return true
	}
	_, err := s.stream.Write(heartbeat[:])
	return err == nil
}

// CloseSend closes the send side. The peer receives io.EOF after the last message.
func (s *Stream) CloseSend() error {
	return s.stream.Close()
}

// Cancel aborts the stream in both directions.
func (s *Stream) Cancel() {
	s.stream.CancelRead(codeCanceled)
	s.stream.CancelWrite(codeCanceled)
}

// OnPeerClose calls callback in a goroutine once the peer has closed its side or the
// connection is lost, after Cancel, or at the latest 5 s (finishTimeout) after the handler of
// the stream has returned. Receive must not be called after OnPeerClose.
func (s *Stream) OnPeerClose(callback func()) {
	s.peerClosed = make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, s.reader) // any error ends the stream
		callback()
		close(s.peerClosed)
	}()
}

// finish closes the send side after the handler has returned. It then waits, at most
// finishTimeout, until the peer closes its side, which a peer does after it has
// received the last message.
func (s *Stream) finish() {
	s.mu.Lock()
	s.sendClosed = true
	_ = s.stream.Close()
	s.mu.Unlock()
	_ = s.stream.SetReadDeadline(time.Now().Add(finishTimeout))
	if s.peerClosed != nil {
		<-s.peerClosed
	} else {
		_, _ = io.Copy(io.Discard, s.reader)
	}
	s.stream.CancelRead(codeCanceled)
}
