package dispatch

import (
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
)

// Errors of Acquire.
var (
	// ErrNoUpstream means that no ready upstream of the service may get the request.
	ErrNoUpstream = errors.New("no ready upstream is allowed for the request")
	// ErrOverloaded means that the request cannot be served before its deadline, or
	// receive its first event before its caller abandons it, usually because the queue
	// is too long.
	ErrOverloaded = errors.New("too many requests wait")
	// ErrPaused means that each upstream that may get the request wants none for some
	// time.
	ErrPaused = errors.New("all upstreams want no requests for a time")
	// ErrLimited means that each of them names a limit that leaves no room for the request
	// in its time, or wants none.
	ErrLimited = errors.New("limits of all upstreams are used up")
	// ErrQueueTimeout means that the request's context ended before an upstream had
	// room.
	ErrQueueTimeout = errors.New("no upstream was free in time")
)

// NoUpstreamError is an ErrNoUpstream with what keeps upstreams from the request.
type NoUpstreamError struct {
	// Evacuated is the number of ready upstreams in data centres that are evacuated.
	Evacuated int
	// Elsewhere is the number of other ones in regions that the request must not reach.
	Elsewhere int
}

// Error returns the text of the error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("%v: %d in evacuated data centres, %d in other regions", ErrNoUpstream, e.Evacuated, e.Elsewhere)
}

// Unwrap returns ErrNoUpstream.
func (e *NoUpstreamError) Unwrap() error {
	return ErrNoUpstream
}

// count counts an upstream that the request is kept from.
func (e *NoUpstreamError) count(request *Request, u *route.Upstream) {
	switch {
	case u.Evacuated:
		e.Evacuated++
	case !request.allowsRegion(u.Region):
		e.Elsewhere++
	}
}

// PausedError is an ErrPaused with the time until the first upstream wants requests again.
type PausedError struct {
	Wait time.Duration
}

// Error returns the text of the error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("%v: first again in %s", ErrPaused, e.Wait)
}

// Unwrap returns ErrPaused.
func (e *PausedError) Unwrap() error {
	return ErrPaused
}

// LimitedError is an ErrLimited with the time until this process may send the next request
// to one of the upstreams.
type LimitedError struct {
	Wait time.Duration
}

// Error returns the text of the error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("%v: next in %s", ErrLimited, e.Wait)
}

// Unwrap returns ErrLimited.
func (e *LimitedError) Unwrap() error {
	return ErrLimited
}

// OverloadError is an ErrOverloaded with the figures behind the refusal.
type OverloadError struct {
	// Queued is the number of requests in the queue, and Ahead the number of those that
	// are as urgent as the request or more urgent. Wait is the expected queueing time of a
	// further request of its urgency; zero if it is not known.
	Queued int
	Ahead  int
	Wait   time.Duration
	// PassTime is the duration of a pass of the fastest group behind the service; zero if
	// it is not known.
	PassTime time.Duration
	// Broken is set if a group behind the service does not work.
	Broken bool
	// Yields is set if more urgent requests are served before this one.
	Yields bool
	// Held is the room in which the request was held back, if it was.
	Held RoomState
}

// Error returns the text of the error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("%v: %d queued, expected wait %s, pass time %s", ErrOverloaded, e.Queued, e.Wait, e.PassTime)
}

// Unwrap returns ErrOverloaded.
func (e *OverloadError) Unwrap() error {
	return ErrOverloaded
}

// Request describes a request that needs an upstream.
type Request struct {
	Service foxtailstack.ServiceName
	// Grouped reports that the upstreams of the service are ranks of groups.
	Grouped bool
	// PassBounds is what is known of the passes of these groups; zero if nothing is.
	PassBounds PassBounds
	// Urgency orders queued requests. A lower one is served first, and zero is the most
	// urgent.
	Urgency int
	// SoftDeadline is the latest time at which the request can be sent and still be
	// answered on time. Unlike it, Deadline does not limit the time of sending: it is
	// the time by which the response must be complete. The zero time means that there
	// is none.
	SoftDeadline time.Time
	Deadline     time.Time
	// TurnBy is the latest time at which the request may be sent to an upstream that names a
	// limit if others are sent before it; the zero time means that there is none. So the
	// requests that wait for their turns are answered on time, and the others are refused
	// at once.
	TurnBy time.Time
	// MinServiceTime is the time from sending to the complete response that is
	// estimated at least. A request with less time left is refused.
	MinServiceTime time.Duration
	// AbandonAt is the time at which the caller closes the connection if the response
	// has not begun; the zero time means never. TimeToFirstEvent is the expected
	// time from sending to the first event of the response.
	AbandonAt        time.Time
	TimeToFirstEvent time.Duration
	// Excluded holds the upstreams that the request must not be sent to again.
	Excluded map[foxtailstack.UpstreamName]bool
	// Begun is set for a request that an upstream may have run in part. It comes before all
	// that have not begun and may use all slots of a rank: its caller has waited for longer,
	// and would leave what has been done for it.
	Begun bool
	// Suspect is set for a request under which an upstream crashed. Suspects are not
	// sent to one upstream at the same time, so that a crash tells them apart.
	Suspect bool
	// Placement selects the upstream for a request with a suspect part in its prompt: it
	// holds numbers of all suspects up to that one, in their order. Entries that have the
	// same list of upstreams and of suspects send the same suspect to the same upstream
	// and others elsewhere. Such a request is sent to a group only once that has worked
	// for placementDelay. If Placement is empty, any upstream may get the request.
	Placement []uint64
	// Only, unless it is empty, holds the only upstreams that the request may be
	// sent to.
	Only map[foxtailstack.UpstreamName]bool
	// Regions holds lists of regions, all of which bind. The request is sent to upstreams in
	// these only.
	Regions []route.Regions
}

// unservable reports whether the request would miss its deadline if it were sent at sentAt
// and the response took a given time, or get its first event after its caller abandons it.
func (r *Request) unservable(sentAt time.Time, response time.Duration) bool {
	return expired(r.Deadline, sentAt.Add(max(r.MinServiceTime, response))) ||
		expired(r.AbandonAt, sentAt.Add(r.TimeToFirstEvent))
}

// allows reports whether the request may be sent to an upstream.
func (r *Request) allows(u *route.Upstream) bool {
	return !u.Evacuated && r.allowsRegion(u.Region) &&
		!r.Excluded[u.Name] && (len(r.Only) == 0 || r.Only[u.Name])
}

// allowsRegion reports whether the request may be sent to a region.
func (r *Request) allowsRegion(region foxtailstack.Region) bool {
	for _, list := range r.Regions {
		if !list.Allow(region) {
			return false
		}
	}
	return true
}
