package booking

import (
	"encoding/hex"
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/zeebo/xxh3"
)

// Errors of this package. Test for them with errors.Is.
var (
	// ErrClaimed means that another attempt holds the key.
	ErrClaimed = errors.New("idempotency key is claimed")
	// ErrMismatch means that the key was used with another body.
	ErrMismatch = errors.New("idempotency key was used with another body")
	// ErrUnavailable means that the record cannot be kept now; nothing ran.
	ErrUnavailable = errors.New("bookings cannot be recorded now")
	// ErrBarred means that the attempt must not start.
	ErrBarred = errors.New("attempt is barred")
)

// State is the state of a record.
type State uint8

const (
	// Claimed means that an attempt may run or have run.
	Claimed State = iota + 1
	// Done means that the attempt ran and the record holds its answer.
	Done
	// Lost means that it will never be known whether the attempt ran.
	Lost
)

// Key identifies a booking.
type Key struct {
	Team    foxtailstack.TeamName
	Service fleet.ServiceID
	// Idempotency is the key that the caller chose.
	Idempotency string
}

// row returns the key of the record in the table.
func (k Key) row() foxtailstack.Key {
	return foxtailstack.Key{
		Partition: "booking/" + string(k.Team) + "/" + k.Service.String(),
		Sort:      hex.EncodeToString([]byte(k.Idempotency)),
	}
}

// Digest identifies the body of a request.
type Digest [16]byte

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest {
	return Digest(xxh3.Hash128(body).Bytes())
}

// Answer is the answer of an attempt.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// Claim names the one attempt that may run under a key.
type Claim struct {
	Attempt     foxtailstack.AttemptID   `cbor:"1,keyasint"`
	Upstream    string                   `cbor:"2,keyasint"`
	Address     foxtailstack.Address     `cbor:"3,keyasint"`
	Incarnation foxtailstack.Incarnation `cbor:"4,keyasint"`
}

// Record is the content of a row.
type Record struct {
	State   State     `cbor:"1,keyasint"`
	Digest  Digest    `cbor:"2,keyasint"`
	Claim   Claim     `cbor:"3,keyasint"`
	Answer  Answer    `cbor:"4,keyasint"`
	Claimed time.Time `cbor:"5,keyasint"`

	// Version is the version of the row.
	Version foxtailstack.Version `cbor:"-"`
}
