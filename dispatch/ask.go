package dispatch

import (
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Errors of Acquire.
var (
	// ErrNoUpstream means that no upstream of the service takes requests.
	ErrNoUpstream = errors.New("service has no ready upstream")
	// ErrOverloaded means that so many wait that the request would not be served in
	// the time it has.
	ErrOverloaded = errors.New("too many requests wait")
	// ErrQueueTimeout means that the request's time ended before an upstream was free.
	ErrQueueTimeout = errors.New("no upstream was free in time")
)

// OverloadError is an ErrCrowded with what decided it.
type OverloadError struct {
	// Queued is the number of requests that wait, Wait how long a further one
	// would, as far as known.
	Queued int
	Wait   time.Duration
	// PassTime is the time of a pass of the group; zero if it is not known.
	PassTime time.Duration
}

// Error returns the text of the error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("%v: %d wait for %s, a pass takes %s", ErrOverloaded, e.Queued, e.Wait, e.PassTime)
}

// Unwrap returns ErrCrowded.
func (e *OverloadError) Unwrap() error {
	return ErrOverloaded
}

// Request is a request that wants an upstream.
type Request struct {
	Service foxtailstack.ServiceName
	// Grouped tells that the upstreams are ranks that work in lock-step.
	Grouped bool
	// Urgency orders those that wait; zero is first.
	Urgency int
	// SoftDeadline is until when the request has to be sent to be on time, Ends when its
	// time is over. Zero times mean never.
	SoftDeadline time.Time
	Deadline     time.Time
	// MinServiceTime is the least time in which it can be served.
	MinServiceTime time.Duration
	// AbandonAt is when the caller leaves if the answer has not begun, First is the
	// time until it begins after the sending. A zero time means never.
	AbandonAt        time.Time
	TimeToFirstEvent time.Duration
	// Excluded holds the upstreams that the request must not go to again.
	Excluded map[foxtailstack.UpstreamName]bool
	// Only, if it is not empty, holds the upstreams that it may go to.
	Only map[foxtailstack.UpstreamName]bool
}

// allows reports whether the request may go to an upstream.
func (a *Request) allows(name foxtailstack.UpstreamName) bool {
	return !a.Excluded[name] && (len(a.Only) == 0 || a.Only[name])
}
