package entry

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
)

// Values used if the policy sets none. defaultTimeout replaces Policy.Deadline, which
// is a duration.
const (
	defaultAttempts = 3
	defaultTimeout  = 30 * time.Second
)

// request is a request of a caller with the service and policy that the
// configuration assigns to it.
type request struct {
	team           foxtailstack.TeamName
	serviceID      fleet.ServiceID
	service        fleet.Service
	policy         fleet.Policy
	idempotencyKey string
	contentType    string
	body           []byte
	priority       foxtailstack.Priority
	// stream is set if the caller accepts server-sent events.
	stream bool
	// callerTimeout is the timeout that the caller has set with HeaderDeadline,
	// or zero.
	callerTimeout time.Duration
	// replaceableVersion is the version of the booking record that the next
	// attempt may replace.
	replaceableVersion foxtailstack.Version
	// claimedVersion is the version of the booking record that the last attempt
	// has written by its claim.
	claimedVersion foxtailstack.Version
}

// bookingKey returns the key of the booking record of a non-idempotent request.
func (r *request) bookingKey() booking.Key {
	return booking.Key{
		Team:        r.team,
		Service:     r.serviceID,
		Idempotency: r.idempotencyKey,
	}
}

// maxAttempts returns the maximum number of attempts that may have run. Attempts that
// certainly did not run do not count.
func (r *request) maxAttempts() int {
	if r.policy.Attempts == 0 {
		return defaultAttempts
	}
	return r.policy.Attempts
}

// timeout returns the timeout of the whole request.
func (r *request) timeout() time.Duration {
	if r.callerTimeout > 0 {
		return r.callerTimeout
	}
	if r.policy.Deadline > 0 {
		return time.Duration(r.policy.Deadline)
	}
	return defaultTimeout
}
