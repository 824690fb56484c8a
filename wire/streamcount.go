package wire

import (
	"context"
	"sync"
)

// streamCount counts the open streams of one kind. A stream is open from the start of
// its handler until the peer has closed its side or finishTimeout has passed after the
// return of the handler. The zero value is ready for use.
type streamCount struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// begin counts a new stream.
func (c *streamCount) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

// end removes a stream from the count and wakes the callers of wait at zero.
func (c *streamCount) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// wait blocks until the count is zero or ctx ends.
func (c *streamCount) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.count == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
