package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Errors of the AdmissionController. Test for them with errors.Is.
var (
	// ErrFull means that the call was not expected to start early enough for its
	// deadline, or that too many calls were waiting.
	ErrFull = errors.New("queue is full")
	// ErrDraining means that the upstream admits no new calls because it is draining.
	ErrDraining = errors.New("upstream is draining")
	// ErrExpired means that the call was canceled or its deadline passed before it
	// started.
	ErrExpired = errors.New("deadline passed before the call started")
)

// AdmissionError means that a call was not admitted. The engine has not seen it.
type AdmissionError struct {
	// Err is ErrFull or ErrDraining, or is or wraps ErrExpired.
	Err error
	// RetryAfter is the time after which the call may be retried on this upstream; zero
	// if it should go to another one.
	RetryAfter time.Duration
}

// Error returns the message of the error.
func (e *AdmissionError) Error() string {
	if e.RetryAfter == 0 {
		return e.Err.Error()
	}
	return fmt.Sprintf("%v, retry after %v", e.Err, e.RetryAfter)
}

// Unwrap returns Err.
func (e *AdmissionError) Unwrap() error {
	return e.Err
}

// AdmissionRequest describes a call that is to be admitted to the engine. A call is the
// use of one slot by one attempt; it is waiting until it has the slot.
type AdmissionRequest struct {
	Team     foxtailstack.TeamName
	Priority foxtailstack.Priority
	// Timeout is the time left until the deadline of the call.
	Timeout time.Duration
	// RelativeCost is the cost of the call relative to the mean cost; zero means 1.
	RelativeCost float64
}

// cost returns the relative cost of the call with its default.
func (r AdmissionRequest) cost() float64 {
	if r.RelativeCost > 0 {
		return r.RelativeCost
	}
	return 1
}

// Load is the load of an upstream as seen by its AdmissionController.
type Load struct {
	Running int `cbor:"1,keyasint"`
	Queued  int `cbor:"2,keyasint"`
	Slots   int `cbor:"3,keyasint"`
	// ExpectedWait is the expected queueing time of a call that arrives now.
	ExpectedWait time.Duration `cbor:"4,keyasint"`
	// MeanServiceTime is the exponentially weighted mean of the times that calls held a
	// slot; zero if no call has ended yet.
	MeanServiceTime time.Duration `cbor:"5,keyasint,omitempty"`
	// Draining is set once AdmissionController.Drain has been called. Server.SetDrain does
	// not set it.
	Draining bool `cbor:"6,keyasint,omitempty"`
}

// AdmissionController limits the calls that run on the engine to a number of slots.
// Its Queue decides which waiting calls start and which are refused. It is safe for
// concurrent use.
type AdmissionController struct {
	mu       sync.Mutex
	queue    Queue
	draining bool
	idle     chan struct{}
}

// NewAdmissionController returns a controller with the given number of slots.
func NewAdmissionController(slots int) *AdmissionController {
	return &AdmissionController{
		queue: Queue{slots: slots},
		idle:  make(chan struct{}),
	}
}

// SetWeight sets the function that returns the weight of a team. The controller calls
// it while it holds its lock.
func (c *AdmissionController) SetWeight(weight func(foxtailstack.TeamName) float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Weight = weight
}

// Resize changes the number of slots. Running calls are not affected. Waiting calls
// start in added slots.
func (c *AdmissionController) Resize(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Resize(time.Now(), slots)
}

// Acquire waits for a slot and takes it. If it fails, it takes no slot and its error is
// an *AdmissionError, which wraps ErrExpired if ctx ends first.
func (c *AdmissionController) Acquire(ctx context.Context, r AdmissionRequest) error {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	decision := make(chan error, 1)
	w := &Waiter{OnDecision: func(err error) { decision <- err }}
	err := c.enqueue(r, w)
	if err != nil {
		return err
	}
	select {
	case err = <-decision:
		return err
	case <-ctx.Done():
	}
	c.cancelWait(w, decision)
	return &AdmissionError{Err: fmt.Errorf("%w: %w", ErrExpired, context.Cause(ctx))}
}

// enqueue adds a call to the queue unless the controller drains.
func (c *AdmissionController) enqueue(r AdmissionRequest, w *Waiter) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return &AdmissionError{Err: ErrDraining}
	}
	c.queue.Add(time.Now(), r, w)
	return nil
}

// cancelWait removes a call from the queue. If the call was granted a slot in the
// meantime, cancelWait releases the slot.
func (c *AdmissionController) cancelWait(w *Waiter, decision <-chan error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Remove(w) {
		return
	}
	if <-decision == nil {
		c.queue.ReleaseUnused(time.Now())
		c.closeIfIdle()
	}
}

// Release releases the slot of a call that has ended.
func (c *AdmissionController) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Finish(time.Now())
	c.closeIfIdle()
}

// closeIfIdle closes the channel returned by Drain if no call runs any more. The caller
// holds c.mu.
func (c *AdmissionController) closeIfIdle() {
	if c.draining && c.queue.running == 0 {
		close(c.idle)
	}
}

// Drain refuses all waiting and all future calls. It returns a channel that is closed
// once no call runs. Drain is final; it serves to stop the process. Server.SetDrain
// drains for the configuration and can be reverted.
func (c *AdmissionController) Drain() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.draining = true
		c.queue.RefuseAll(ErrDraining)
		c.closeIfIdle()
	}
	return c.idle
}

// Load returns the present load.
func (c *AdmissionController) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := c.queue.Load()
	load.Draining = c.draining
	return load
}

// admissionRefusal converts an error of the AdmissionController to a Refusal.
func admissionRefusal(err error) Refusal {
	refusal := Refusal{Reason: ReasonFull}
	switch {
	case errors.Is(err, ErrDraining):
		refusal.Reason = ReasonDraining
	case errors.Is(err, ErrExpired):
		refusal.Reason = ReasonExpired
	}
	var refused *AdmissionError
	if errors.As(err, &refused) {
		refusal.RetryAfter = refused.RetryAfter
	}
	return refusal
}
