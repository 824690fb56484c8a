package entry

import (
	"context"
	"net/http"
	"sync"
)

// drainer counts the requests in progress and rejects new ones once draining has
// started. The zero value admits requests.
type drainer struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	// drained is closed once draining is set and no request is in flight.
	drained chan struct{}
}

// begin counts a new request, or returns false if draining has started.
func (d *drainer) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.inFlight++
	return true
}

// end counts a request as finished.
func (d *drainer) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.draining && d.inFlight == 0 {
		close(d.drained)
	}
}

// startDrain rejects new requests from now on. It returns a channel that is closed
// once no request is in progress.
func (d *drainer) startDrain() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return d.drained
	}
	d.draining = true
	d.drained = make(chan struct{})
	if d.inFlight == 0 {
		close(d.drained)
	}
	return d.drained
}

// Drain rejects new requests from now on. It returns nil once all requests in
// progress have finished, or the cause of the end of ctx.
func (s *Server) Drain(ctx context.Context) error {
	select {
	case <-s.drainer.startDrain():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// refuseWhileDraining answers a request that arrives while the entry is stopping.
// It closes the connection, so that the caller connects to another entry.
func refuseWhileDraining(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	p := notRunProblem(http.StatusServiceUnavailable, "the entry is stopping")
	p.retryAfter = defaultRetry
	p.write(w)
}
