package wire

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/quic-go/quic-go"
)

// transport is what a Stream needs of a QUIC stream.
type transport interface {
	io.ReadWriteCloser
	Context() context.Context
	CancelRead(code quic.StreamErrorCode)
	CancelWrite(code quic.StreamErrorCode)
	SetReadDeadline(t time.Time) error
}

// Opener opens a stream of a kind to a peer, as Client.Open does.
type Opener func(ctx context.Context, address foxtailstack.Address, kind Kind) (*Stream, error)

// NewLocalClient returns a client whose streams come from open in place of
// connections.
func NewLocalClient(open Opener) *Client {
	return &Client{open: open}
}

// Pipe returns the two ends of a stream within one process. What one end sends
// the other receives at once and in order.
func Pipe() (first, second *Stream) {
	there, back := newHalf(), newHalf()
	return newStream(pipe{
			in:  back,
			out: there,
		}), newStream(pipe{
			in:  there,
			out: back,
		})
}

// pipe is one end of a Pipe.
type pipe struct {
	in  *half
	out *half
}

// Read reads what the other end has written.
func (p pipe) Read(b []byte) (int, error) {
	return p.in.read(b)
}

// Write writes to the other end. It never waits.
func (p pipe) Write(b []byte) (int, error) {
	return p.out.write(b)
}

// Close ends what this end writes.
func (p pipe) Close() error {
	p.out.end(io.EOF, false)
	return nil
}

// Context ends with what this end writes.
func (p pipe) Context() context.Context {
	return p.out.ctx
}

// CancelRead ends what the other end writes.
func (p pipe) CancelRead(code quic.StreamErrorCode) {
	p.in.end(fmt.Errorf("reading was canceled with code %d", code), true)
}

// CancelWrite ends what this end writes and discards what has not been read.
func (p pipe) CancelWrite(code quic.StreamErrorCode) {
	p.out.end(fmt.Errorf("writing was canceled with code %d", code), true)
}

// SetReadDeadline sets the time after which Read fails.
func (p pipe) SetReadDeadline(t time.Time) error {
	p.in.setDeadline(t)
	return nil
}

// half is one direction of a Pipe.
type half struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	data     []byte
	err      error
	deadline time.Time
	changed  chan struct{}
}

// newHalf returns an open direction.
func newHalf() *half {
	ctx, cancel := context.WithCancel(context.Background())
	return &half{
		ctx:     ctx,
		cancel:  cancel,
		changed: make(chan struct{}),
	}
}

// read waits for data, the end or the deadline.
func (h *half) read(b []byte) (int, error) {
	for {
		h.mu.Lock()
		n := copy(b, h.data)
		h.data = h.data[n:]
		err, deadline, changed := h.err, h.deadline, h.changed
		h.mu.Unlock()
		if n > 0 || len(b) == 0 {
			return n, nil
		}
		if err != nil {
			return 0, err
		}
		if !awaitChange(changed, deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// awaitChange waits for a change and returns false if the deadline comes first.
func awaitChange(changed <-chan struct{}, deadline time.Time) bool {
	if deadline.IsZero() {
		<-changed
		return true
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	}
}

// write appends data unless the direction has ended.
func (h *half) write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return 0, h.err
	}
	h.data = append(h.data, b...)
	h.notify()
	return len(b), nil
}

// end ends the direction with an error for its reader, and discards what the
// reader has not taken if reset is set.
func (h *half) end(err error, reset bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.cancel()
	if h.err == nil {
		h.err = err
	}
	if reset {
		h.data = nil
	}
	h.notify()
}

// setDeadline sets the time after which read fails.
func (h *half) setDeadline(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = t
	h.notify()
}

// notify wakes a reader. The caller holds h.mu.
func (h *half) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}
