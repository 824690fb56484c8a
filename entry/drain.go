package entry

import (
	"context"
	"net/http"
	"sync"
)

// door counts the requests in progress and turns new ones away once it is
// closed. The zero value is open.
type door struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{}
}

// enter counts a request, or returns false if the door is closed.
func (d *door) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.n++
	return true
}

// leave counts a request as over.
func (d *door) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.n--
	if d.closed && d.n == 0 {
		close(d.idle)
	}
}

// close turns new requests away and returns a channel that is closed once none
// is in progress.
func (d *door) close() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return d.idle
	}
	d.closed = true
	d.idle = make(chan struct{})
	if d.n == 0 {
		close(d.idle)
	}
	return d.idle
}

// Drain refuses new requests from now on. It returns once those in progress
// have finished, or with the cause of the end of ctx.
func (s *Server) Drain(ctx context.Context) error {
	select {
	case <-s.door.close():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// refuseStopping refuses a request of a caller who is to come back elsewhere.
func refuseStopping(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	p := refuse(http.StatusServiceUnavailable, "the entry is stopping")
	p.retry = defaultRetry
	p.write(w)
}
