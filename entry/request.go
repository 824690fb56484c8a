package entry

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
)

// Defaults of a policy.
const (
	defaultAttempts = 3
	defaultDeadline = 30 * time.Second
)

// request is a caller's request with what the configuration says of it.
type request struct {
	team        foxtailstack.TeamName
	id          fleet.ServiceID
	service     fleet.Service
	policy      fleet.Policy
	idempotency string
	contentType string
	body        []byte
	priority    foxtailstack.Priority
	stream      bool
	deadline    time.Duration
	// replaces is the version of a booking's record that an attempt may replace.
	replaces foxtailstack.Version
	// claimed is the version of the record that the last attempt has claimed.
	claimed foxtailstack.Version
}

// bookingKey returns the key of the record of a non-idempotent request.
func (r *request) bookingKey() booking.Key {
	return booking.Key{
		Team:        r.team,
		Service:     r.id,
		Idempotency: r.idempotency,
	}
}

// attempts returns the highest number of attempts.
func (r *request) attempts() int {
	if r.policy.Attempts == 0 {
		return defaultAttempts
	}
	return r.policy.Attempts
}

// timeLeft returns the time for the whole request.
func (r *request) timeLeft() time.Duration {
	if r.deadline > 0 {
		return r.deadline
	}
	if r.policy.Deadline > 0 {
		return time.Duration(r.policy.Deadline)
	}
	return defaultDeadline
}
