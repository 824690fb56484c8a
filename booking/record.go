package booking

import (
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/zeebo/xxh3"
)

// maxKey is the length of the longest idempotency key in bytes.
const maxKey = 255

// Errors of this package. Test for them with errors.Is.
var (
	// ErrKey means that an idempotency key is empty or too long.
	ErrKey = errors.New("idempotency key is not 1 to 255 bytes long")
	// ErrClaimed means that another attempt holds the key.
	ErrClaimed = errors.New("idempotency key is claimed")
	// ErrMismatch means that the key was used with another body.
	ErrMismatch = errors.New("idempotency key was used with another body")
	// ErrUnavailable means that the record cannot be read or written now.
	ErrUnavailable = errors.New("bookings cannot be recorded now")
	// ErrBarred means that the attempt must not start.
	ErrBarred = errors.New("attempt is barred")
	// ErrFull means that too many attempts await their record.
	ErrFull = errors.New("too many bookings await their record")
	// ErrUnsettled means that it is not known yet whether the attempt ran.
	ErrUnsettled = errors.New("outcome of the booking is not known yet")
	// ErrRunning means that the attempt still runs.
	ErrRunning = errors.New("booking still runs")
	// ErrLost means that only an operator can tell whether the attempt ran.
	ErrLost = errors.New("outcome of the booking is unknown until an operator settles it")
	// ErrTooLong means that an answer is too long to be recorded.
	ErrTooLong = errors.New("answer is too long to be recorded")
	// ErrNotFound means that there is no such record.
	ErrNotFound = errors.New("booking not found")
	// ErrSettled means that the outcome of a booking is known already.
	ErrSettled = errors.New("booking is settled already")
)

// State is the state of a record.
type State uint8

const (
	// Claimed means that an attempt may run or have run.
	Claimed State = iota + 1
	// Done means that the attempt ran and the record holds its answer.
	Done
	// Lost means that nobody but an operator can tell whether the attempt ran.
	Lost
	// Freed means that an operator has settled that the attempt did not run.
	Freed
)

// stateNames holds the text of each State.
var stateNames = [...]string{
	Claimed: "claimed",
	Done:    "done",
	Lost:    "lost",
	Freed:   "freed",
}

// String returns the name that operators see.
func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// Key identifies a booking.
type Key struct {
	Team    foxtailstack.TeamName
	Service fleet.ServiceID
	// Idempotency is the key that the caller chose.
	Idempotency string
}

// Check returns ErrKey if the caller's key cannot be a key of the table.
func (k Key) Check() error {
	if k.Idempotency == "" || len(k.Idempotency) > maxKey {
		return ErrKey
	}
	return nil
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
	// Object names the object that holds the body of a long answer in the
	// record, whose Body is then empty. Length and Sum are those of the body.
	Object string `cbor:"4,keyasint,omitempty"`
	Length int    `cbor:"5,keyasint,omitempty"`
	Sum    uint64 `cbor:"6,keyasint,omitempty"`
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
	State  State  `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Claim  Claim  `cbor:"3,keyasint"`
	Answer Answer `cbor:"4,keyasint"`
	// At is when the record was written, by the clock of the writer. It is for
	// operators to read; nothing is decided by it.
	At time.Time `cbor:"5,keyasint"`
	// Settlement is set if an operator has settled the outcome.
	Settlement *Settlement `cbor:"6,keyasint,omitempty"`

	// Version is the version of the row.
	Version foxtailstack.Version `cbor:"-"`
}

// heldBy reports whether the record is the claim of an attempt as it was
// written with a fencing number.
func (r Record) heldBy(claim Claim, number foxtailstack.FencingToken) bool {
	return r.State == Claimed &&
		r.Claim.Attempt == claim.Attempt &&
		r.Version == foxtailstack.Version(number)
}
