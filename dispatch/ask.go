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
	// ErrCrowded means that so many wait that the request would not be served in
	// the time it has.
	ErrCrowded = errors.New("too many requests wait")
	// ErrGaveUp means that the request's time ended before an upstream was free.
	ErrGaveUp = errors.New("no upstream was free in time")
)

// CrowdedError is an ErrCrowded with what decided it.
type CrowdedError struct {
	// Queued is the number of requests that wait, Wait how long a further one
	// would, as far as known.
	Queued int
	Wait   time.Duration
	// Pass is the time of a pass of the group; zero if it is not known.
	Pass time.Duration
}

// Error returns the text of the error.
func (e *CrowdedError) Error() string {
	return fmt.Sprintf("%v: %d wait for %s, a pass takes %s", ErrCrowded, e.Queued, e.Wait, e.Pass)
}

// Unwrap returns ErrCrowded.
func (e *CrowdedError) Unwrap() error {
	return ErrCrowded
}

// Ask is a request that wants an upstream.
type Ask struct {
	Service foxtailstack.ServiceName
	// Grouped tells that the upstreams are ranks that work in lock-step.
	Grouped bool
	// Urgency orders those that wait; zero is first.
	Urgency int
	// Fresh is until when the request has to be sent to be on time, Ends when its
	// time is over. Zero times mean never.
	Fresh time.Time
	Ends  time.Time
	// Needs is the least time in which it can be served.
	Needs time.Duration
	// Begins is when the caller leaves if the answer has not begun, First is the
	// time until it begins after the sending. A zero time means never.
	Begins time.Time
	First  time.Duration
	// Avoid holds the upstreams that the request must not go to again.
	Avoid map[foxtailstack.UpstreamName]bool
	// Only, if it is not empty, holds the upstreams that it may go to.
	Only map[foxtailstack.UpstreamName]bool
}

// allows reports whether the request may go to an upstream.
func (a *Ask) allows(name foxtailstack.UpstreamName) bool {
	return !a.Avoid[name] && (len(a.Only) == 0 || a.Only[name])
}
