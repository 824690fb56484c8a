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
	quic   transport
	reader *bufio.Reader
	// receiveTimeout is the longest time that Receive waits for a message or a
	// heartbeat; zero means no limit.
	receiveTimeout time.Duration
	// onReceive is called for each message or heartbeat received, and
	// onReceiveTimeout when receiveTimeout has passed without any. Both are nil
	// without a limit.
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
func newStream(s transport) *Stream {
	return &Stream{
		quic:   s,
		reader: bufio.NewReaderSize(s, readBufferSize),
	}
}

// Context returns the context of the underlying stream. It ends when the send side
// ends, also at the request of the peer, or when the connection is lost.
func (s *Stream) Context() context.Context {
	return s.quic.Context()
}

// Send sends one message. Its error is ErrMalformed or ErrTooLong if v cannot be
// sent, and ErrClosed otherwise.
func (s *Stream) Send(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSent = time.Now()
	err := Write(s.quic, v)
	if err != nil && !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return err
}

// Receive receives one message into v. It returns io.EOF once the peer has closed its
// side and all messages have been received.
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

// extendReadDeadline moves the read deadline to receiveTimeout from now, if set.
func (s *Stream) extendReadDeadline() {
	if s.receiveTimeout > 0 {
		_ = s.quic.SetReadDeadline(time.Now().Add(s.receiveTimeout))
	}
}

// SetReadDeadline sets the time after which Receive fails. It replaces the limit on
// the time between two messages or heartbeats.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.receiveTimeout = 0
	return s.quic.SetReadDeadline(t)
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
	_, err := s.quic.Write(heartbeat[:])
	return err == nil
}

// CloseSend closes the send side. The peer receives io.EOF after the last message.
func (s *Stream) CloseSend() error {
	return s.quic.Close()
}

// Cancel aborts the stream in both directions.
func (s *Stream) Cancel() {
	s.quic.CancelRead(codeCanceled)
	s.quic.CancelWrite(codeCanceled)
}

// OnPeerClose calls callback in a goroutine once the peer has closed its side or the
// connection is lost. Receive must not be called afterwards.
func (s *Stream) OnPeerClose(callback func()) {
	s.peerClosed = make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, s.reader) // any error means that the peer is gone
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
	_ = s.quic.Close()
	s.mu.Unlock()
	_ = s.quic.SetReadDeadline(time.Now().Add(finishTimeout))
	if s.peerClosed != nil {
		<-s.peerClosed
	} else {
		_, _ = io.Copy(io.Discard, s.reader)
	}
	s.quic.CancelRead(codeCanceled)
}
