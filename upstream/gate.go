package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Errors of the Gate. Test for them with errors.Is.
var (
	// ErrFull means that the call could not start early enough.
	ErrFull = errors.New("queue is full")
	// ErrDraining means that the upstream is leaving.
	ErrDraining = errors.New("upstream is draining")
	// ErrExpired means that the call left or its deadline passed in the queue.
	ErrExpired = errors.New("deadline passed before the call started")
)

// AdmissionError is a call that the Gate did not let in. The engine has not seen it.
type AdmissionError struct {
	// Err is ErrFull, ErrDraining or ErrExpired.
	Err error
	// RetryAfter is when the call may come back; zero if it should go elsewhere.
	RetryAfter time.Duration
}

// Error returns the text of the error.
func (e *AdmissionError) Error() string {
	if e.RetryAfter == 0 {
		return e.Err.Error()
	}
	return fmt.Sprintf("%v, retry after %v", e.Err, e.RetryAfter)
}

// Unwrap returns the cause of the error.
func (e *AdmissionError) Unwrap() error {
	return e.Err
}

// AdmissionRequest is a call that asks for a slot.
type AdmissionRequest struct {
	Team     foxtailstack.TeamName
	Priority foxtailstack.Priority
	// Timeout is the time left until the call's deadline.
	Timeout time.Duration
	// RelativeCost is the size of the call against a mean one; zero means 1.
	RelativeCost float64
}

// work returns the size of the call against a mean one.
func (t AdmissionRequest) work() float64 {
	if t.RelativeCost > 0 {
		return t.RelativeCost
	}
	return 1
}

// Load is what the gate knows of its queue.
type Load struct {
	Running int `cbor:"1,keyasint"`
	Queued  int `cbor:"2,keyasint"`
	Slots   int `cbor:"3,keyasint"`
	// ExpectedWait is the expected wait of a call that comes now.
	ExpectedWait time.Duration `cbor:"4,keyasint"`
	// MeanServiceTime is the smoothed time that a call holds a slot; zero if unknown.
	MeanServiceTime time.Duration `cbor:"5,keyasint,omitempty"`
	// Draining is set once the upstream takes no more calls.
	Draining bool `cbor:"6,keyasint,omitempty"`
}

// AdmissionController admits calls to the engine as its Queue decides. It is safe for
// concurrent use.
type AdmissionController struct {
	mu       sync.Mutex
	queue    Queue
	draining bool
	idle     chan struct{}
}

// NewAdmissionController returns a gate with a number of slots.
func NewAdmissionController(slots int) *AdmissionController {
	return &AdmissionController{
		queue: Queue{slots: slots},
		idle:  make(chan struct{}),
	}
}

// SetWeight sets the function that returns the share of a team. The gate calls
// it while it is locked.
func (g *AdmissionController) SetWeight(weight func(foxtailstack.TeamName) float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Weight = weight
}

// Resize changes the number of slots. Calls that run are not affected; calls
// that wait start in new slots.
func (g *AdmissionController) Resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Resize(time.Now(), slots)
}

// Acquire waits for a slot and takes it. Otherwise its error is a *GateError and
// no slot is taken; it is ErrExpired if ctx ends first.
func (g *AdmissionController) Acquire(ctx context.Context, t AdmissionRequest) error {
	ctx, cancel := context.WithTimeout(ctx, t.Timeout)
	defer cancel()
	decided := make(chan error, 1)
	w := &Waiter{OnDecision: func(err error) { decided <- err }}
	err := g.add(t, w)
	if err != nil {
		return err
	}
	select {
	case err = <-decided:
		return err
	case <-ctx.Done():
	}
	g.abandon(w, decided)
	return &AdmissionError{Err: fmt.Errorf("%w: %w", ErrExpired, context.Cause(ctx))}
}

// add puts a call into the queue.
func (g *AdmissionController) add(t AdmissionRequest, w *Waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return &AdmissionError{Err: ErrDraining}
	}
	g.queue.Add(time.Now(), t, w)
	return nil
}

// abandon takes a call out of the queue, or gives back the slot that it got
// in the meantime.
func (g *AdmissionController) abandon(w *Waiter, decided <-chan error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(w) {
		return
	}
	if <-decided == nil {
		g.queue.ReleaseUnused(time.Now())
		g.settle()
	}
}

// Release gives a slot back.
func (g *AdmissionController) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Finish(time.Now())
	g.settle()
}

// settle tells a Drain that no call runs any more. The caller holds g.mu.
func (g *AdmissionController) settle() {
	if g.draining && g.queue.running == 0 {
		close(g.idle)
	}
}

// Drain refuses new calls and those that wait from now on. It returns a channel
// that is closed once none runs.
func (g *AdmissionController) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		g.queue.RefuseAll(ErrDraining)
		g.settle()
	}
	return g.idle
}

// Load returns the present load.
func (g *AdmissionController) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.queue.Load()
	load.Draining = g.draining
	return load
}

// gateRefusal returns the refusal that stands for an error of the gate.
func gateRefusal(err error) Refusal {
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
