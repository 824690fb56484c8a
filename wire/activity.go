package wire

import (
	"context"
	"sync"
)

// activity counts the streams of one kind in progress. The zero value is ready
// for use.
type activity struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

// begin counts a stream.
func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n++
}

// end counts a stream as over.
func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n--
	if a.n == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// wait waits until no stream is in progress or ctx ends.
func (a *activity) wait(ctx context.Context) error {
	a.mu.Lock()
	if a.n == 0 {
		a.mu.Unlock()
		return nil
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	idle := a.idle
	a.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
