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

// Frame is one message of an attempt. Exactly one of the fields from Open to Failure is
// set, except that Head, Data and End may be combined; they apply in this order.
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
	// LastEventID is the number of the last event up to and including Data. It is zero if
	// the stream cannot be resumed because events have no numbers.
	LastEventID uint64 `cbor:"10,keyasint,omitempty"`
	// Timestamp orders the time-line events of entry and sidecar. Frames that carry Data
	// without End have none.
	Timestamp *timeline.Timestamp `cbor:"11,keyasint,omitempty"`
}

// Open asks the sidecar to admit an attempt. Path, ContentType, Body, Priority, Stream and
// ReceivedEvents are passed to the engine; see foxtailstack.EngineCall.
type Open struct {
	Upstream    string                `cbor:"1,keyasint"`
	Team        foxtailstack.TeamName `cbor:"2,keyasint"`
	Path        string                `cbor:"3,keyasint"`
	ContentType string                `cbor:"4,keyasint"`
	Body        []byte                `cbor:"5,keyasint"`
	Priority    foxtailstack.Priority `cbor:"6,keyasint,omitempty"`
	Stream      bool                  `cbor:"7,keyasint,omitempty"`
	// ReceivedEvents is the number of events that the caller has received already. It is
	// also the number of the last one, because events are numbered from 1 without gaps.
	ReceivedEvents uint64 `cbor:"8,keyasint,omitempty"`
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration `cbor:"9,keyasint"`
	// Reserve asks the sidecar to wait for Run before it starts the attempt. It is set
	// for non-idempotent attempts.
	Reserve bool `cbor:"10,keyasint,omitempty"`
	// ModelEngine is set if the upstream is a model engine, whose event streams end with
	// a special event; see Event.Done.
	ModelEngine bool `cbor:"11,keyasint,omitempty"`
	// Suspect is set if an upstream crashed while it ran an equal request, which may be
	// the cause. A sidecar runs one such attempt at a time.
	Suspect bool `cbor:"12,keyasint,omitempty"`
}

// Reserved tells the entry that the attempt has been admitted and starts when Run is
// received.
type Reserved struct {
	Incarnation foxtailstack.Incarnation `cbor:"1,keyasint"`
}

// Run starts a reserved attempt under a claim on its booking key.
type Run struct {
	Key          BookingKey                `cbor:"1,keyasint"`
	Claim        booking.Claim             `cbor:"2,keyasint"`
	FencingToken foxtailstack.FencingToken `cbor:"3,keyasint"`
}

// BookingKey is the encoding of a booking.Key.
type BookingKey struct {
	Team        foxtailstack.TeamName    `cbor:"1,keyasint"`
	Fleet       foxtailstack.FleetName   `cbor:"2,keyasint"`
	Service     foxtailstack.ServiceName `cbor:"3,keyasint"`
	Idempotency string                   `cbor:"4,keyasint"`
}

// Key returns k as a booking.Key.
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

// String returns the key as team/fleet/service/idempotency key.
func (k BookingKey) String() string {
	return string(k.Team) + "/" + k.Key().Service.String() + "/" + k.Idempotency
}

// Head is the head of a response.
type Head struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
}

// End is the end of a complete response.
type End struct {
	// Length is the length in bytes, and Checksum the xxh3 hash, of the Data of all
	// frames.
	Length   uint64 `cbor:"1,keyasint"`
	Checksum uint64 `cbor:"2,keyasint"`
}

// Reason is the reason for which an attempt was refused or failed.
type Reason string

// The reasons of refusals and failures.
const (
	// ReasonFull: the attempt was not expected to start in time, or the queue, the ledger
	// or the Flusher of the sidecar is full.
	ReasonFull Reason = "full"
	// ReasonDraining: the upstream is drained or its sidecar is stopping.
	ReasonDraining Reason = "draining"
	// ReasonExpired: the deadline passed, the entry disconnected, or no valid Run arrived
	// in time.
	ReasonExpired Reason = "expired"
	// ReasonWrongUpstream: the sidecar serves another upstream.
	ReasonWrongUpstream Reason = "wrong-upstream"
	// ReasonBarred: the ledger does not let the reserved attempt start. The entry also
	// uses it for a reserved attempt that has not run.
	ReasonBarred Reason = "barred"
	// ReasonDown: the engine refuses connections. The entry also uses it for an attempt
	// that it could not send to the sidecar.
	ReasonDown Reason = "engine-down"
	// ReasonFailed: the engine gave no complete response but was not found to be down, or
	// the response to an attempt under a claim was not written to the table. The entry
	// also uses it if it cannot pass the response on or does not know whether the attempt
	// ran.
	ReasonFailed Reason = "engine-failed"
	// ReasonMismatch: the response belongs to another attempt or is out of sequence. The
	// entry also uses it for frames out of sequence and for a wrong checksum.
	ReasonMismatch Reason = "engine-mismatch"
	// ReasonCrashed: the connection to the engine was lost, and the engine is down or had
	// not sent the head of its response.
	ReasonCrashed Reason = "engine-crashed"
	// ReasonConnectionLost: the stream between entry and sidecar broke. Only the entry
	// sets it.
	ReasonConnectionLost Reason = "connection-lost"
	// ReasonQuarantined: the entry did not send the request, because upstreams crashed
	// while they ran equal ones. Only the entry sets it.
	ReasonQuarantined Reason = "quarantined"
)

// Refusal ends an attempt that the engine has not seen and will not see.
type Refusal struct {
	Reason     Reason        `cbor:"1,keyasint"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}

// Failure ends an attempt that the engine may have run.
type Failure struct {
	Reason Reason `cbor:"1,keyasint"`
}
