package upstream

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
)

// StreamAttempt is the kind of the streams that carry attempts.
const StreamAttempt wire.Kind = "attempt"

// Frame is one message of an attempt. One of its parts is set, but that Head,
// Data and End may come together, in this order.
type Frame struct {
	Attempt  foxtailstack.AttemptID `cbor:"1,keyasint"`
	Open     *Open                  `cbor:"2,keyasint,omitempty"`
	Reserved *Reserved              `cbor:"3,keyasint,omitempty"`
	Run      *Run                   `cbor:"4,keyasint,omitempty"`
	Head     *Head                  `cbor:"5,keyasint,omitempty"`
	Data     []byte                 `cbor:"6,keyasint,omitempty"`
	End      *End                   `cbor:"7,keyasint,omitempty"`
	Refusal  *Refusal               `cbor:"8,keyasint,omitempty"`
	Failure  *Failure               `cbor:"9,keyasint,omitempty"`
	// LastEventID is the number of the last event in Data; zero if events have none.
	LastEventID uint64 `cbor:"10,keyasint,omitempty"`
	// Timestamp orders the events of both ends; it is set but for Data without End.
	Timestamp *timeline.Timestamp `cbor:"11,keyasint,omitempty"`
}

// Open asks the sidecar to admit an attempt.
type Open struct {
	Upstream       string                `cbor:"1,keyasint"`
	Team           foxtailstack.TeamName `cbor:"2,keyasint"`
	Path           string                `cbor:"3,keyasint"`
	ContentType    string                `cbor:"4,keyasint"`
	Body           []byte                `cbor:"5,keyasint"`
	Priority       foxtailstack.Priority `cbor:"6,keyasint,omitempty"`
	Stream         bool                  `cbor:"7,keyasint,omitempty"`
	ReceivedEvents uint64                `cbor:"8,keyasint,omitempty"`
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration `cbor:"9,keyasint"`
	// Reserve holds the attempt until Run; set for non-idempotent attempts.
	Reserve bool `cbor:"10,keyasint,omitempty"`
	// ModelEngine tells that the engine is a model engine, whose streams end with an
	// event of their own.
	ModelEngine bool `cbor:"11,keyasint,omitempty"`
	// Suspect tells that the request may have crashed an upstream before.
	Suspect bool `cbor:"12,keyasint,omitempty"`
}

// Reserved says that the attempt runs once it is told to.
type Reserved struct {
	Incarnation foxtailstack.Incarnation `cbor:"1,keyasint"`
}

// Run lets a reserved attempt start, under a claim.
type Run struct {
	Key          BookingKey                `cbor:"1,keyasint"`
	Claim        booking.Claim             `cbor:"2,keyasint"`
	FencingToken foxtailstack.FencingToken `cbor:"3,keyasint"`
}

// BookingKey is a booking.Key in a message.
type BookingKey struct {
	Team        foxtailstack.TeamName    `cbor:"1,keyasint"`
	Fleet       foxtailstack.FleetName   `cbor:"2,keyasint"`
	Service     foxtailstack.ServiceName `cbor:"3,keyasint"`
	Idempotency string                   `cbor:"4,keyasint"`
}

// Key returns the booking.Key in k.
func (k BookingKey) Key() booking.Key {
	return booking.Key{
		Team: k.Team,
		Service: fleet.ServiceID{
			Fleet:   k.Fleet,
			Service: k.Service,
		},
		Idempotency: k.Idempotency,
	}
}

// String returns the name of the key among those of all teams and services.
func (k BookingKey) String() string {
	return string(k.Team) + "/" + k.Key().Service.String() + "/" + k.Idempotency
}

// Head begins an answer.
type Head struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
}

// End closes a whole answer.
type End struct {
	// Length and Sum are the length in bytes and the xxh3 hash of all Data.
	Length   uint64 `cbor:"1,keyasint"`
	Checksum uint64 `cbor:"2,keyasint"`
}

// Reason tells why an attempt was refused or failed.
type Reason string

// The reasons of refusals and failures.
const (
	ReasonFull           Reason = "full"
	ReasonDraining       Reason = "draining"
	ReasonExpired        Reason = "expired"
	ReasonWrongUpstream  Reason = "wrong-upstream"
	ReasonBarred         Reason = "barred"
	ReasonDown           Reason = "engine-down"
	ReasonFailed         Reason = "engine-failed"
	ReasonMismatch       Reason = "engine-mismatch"
	ReasonCrashed        Reason = "engine-crashed"
	ReasonConnectionLost Reason = "connection-lost"
	ReasonQuarantined    Reason = "quarantined"
)

// Refusal ends an attempt that the engine has not seen and never will.
type Refusal struct {
	Reason     Reason        `cbor:"1,keyasint"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}

// Failure ends an attempt that the engine may have run.
type Failure struct {
	Reason Reason `cbor:"1,keyasint"`
}
