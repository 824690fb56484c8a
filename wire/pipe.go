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

// quicStream holds the methods of a QUIC stream that Stream uses.
type quicStream interface {
	io.ReadWriteCloser
	Context() context.Context
	CancelRead(code quic.StreamErrorCode)
	CancelWrite(code quic.StreamErrorCode)
	SetReadDeadline(t time.Time) error
}

// Opener opens a stream of the given kind to a peer, as Client.Open does.
type Opener func(ctx context.Context, address foxtailstack.Address, kind Kind) (*Stream, error)

// NewLocalClient returns a client that gets its streams from open instead of network
// connections. It serves tests that run all processes in one.
func NewLocalClient(open Opener) *Client {
	return &Client{open: open}
}

// Pipe returns the two ends of an in-memory stream. Messages sent on one end can be
// received on the other immediately and in order. Sending never blocks.
func Pipe() (first, second *Stream) {
	forward, backward := newDirection(), newDirection()
	return newStream(pipe{
			in:  backward,
			out: forward,
		}), newStream(pipe{
			in:  forward,
			out: backward,
		})
}

// pipe is one end of a Pipe.
type pipe struct {
	in  *direction
	out *direction
}

// Read reads data written by the other end. It blocks until there are any.
func (p pipe) Read(b []byte) (int, error) {
	return p.in.read(b)
}

// Write makes data available to the other end. It never blocks.
func (p pipe) Write(b []byte) (int, error) {
	return p.out.write(b)
}

// Close closes the outgoing direction; the other end reads io.EOF after all data.
func (p pipe) Close() error {
	p.out.close(io.EOF, false)
	return nil
}

// Context returns a context that ends when the outgoing direction is closed.
func (p pipe) Context() context.Context {
	return p.out.ctx
}

// CancelRead closes the incoming direction and discards unread data. Writes of the
// other end fail from then on.
func (p pipe) CancelRead(code quic.StreamErrorCode) {
	p.in.close(fmt.Errorf("reading was canceled with code %d", code), true)
}

// CancelWrite closes the outgoing direction and discards data not yet read by the
// other end.
func (p pipe) CancelWrite(code quic.StreamErrorCode) {
	p.out.close(fmt.Errorf("writing was canceled with code %d", code), true)
}

// SetReadDeadline sets the time after which Read fails; zero means no deadline.
func (p pipe) SetReadDeadline(t time.Time) error {
	p.in.setDeadline(t)
	return nil
}

// direction is one direction of a Pipe.
type direction struct {
	// ctx ends when the direction is closed; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	data     []byte
	err      error // set by close; returned by write, and by read once data is empty
	deadline time.Time
	changed  chan struct{} // closed and replaced by notify
}

// newDirection returns an open direction.
func newDirection() *direction {
	ctx, cancel := context.WithCancel(context.Background())
	return &direction{
		ctx:     ctx,
		cancel:  cancel,
		changed: make(chan struct{}),
	}
}

// read blocks until there are data, the direction is closed or the deadline passes.
func (d *direction) read(b []byte) (int, error) {
	for {
		d.mu.Lock()
		n := copy(b, d.data)
		d.data = d.data[n:]
		err, deadline, changed := d.err, d.deadline, d.changed
		d.mu.Unlock()
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

// awaitChange waits until changed is closed. It returns false if the deadline passes
// first; a zero deadline never does.
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

// write appends data unless the direction is closed.
func (d *direction) write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return 0, d.err
	}
	d.data = append(d.data, b...)
	d.notify()
	return len(b), nil
}

// close closes the direction. The first call sets the error that the reader gets. If
// reset is set, unread data are discarded.
func (d *direction) close(err error, reset bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.cancel()
	if d.err == nil {
		d.err = err
	}
	if reset {
		d.data = nil
	}
	d.notify()
}

// setDeadline sets the time after which read fails.
func (d *direction) setDeadline(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = t
	d.notify()
}

// notify wakes the reader. The caller holds d.mu.
func (d *direction) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}
