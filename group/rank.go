package group

import (
	"context"
	"errors"

	"github.com/foxtailstack/foxtailstack"
)

// Errors of orders. After any other error the order may yet be carried out.
var (
	// ErrStateMismatch means that the order does not fit the state of the rank.
	ErrStateMismatch = errors.New("order does not fit the state of the rank")
	// ErrFenced means that the rank has seen a higher fencing number.
	ErrFenced = errors.New("rank has seen a newer planner")
	// ErrUnknownBase means that a sidecar does not know the map that a patch applies to.
	ErrUnknownBase = errors.New("sidecar does not know the map that the patch applies to")
	// ErrRejected means that the rank does not take the order at all.
	ErrRejected = errors.New("rank rejected the order")
)

// Name names a group.
type Name string

// Formation numbers the openings of a group.
type Formation uint64

// Report is the state of one rank.
type Report struct {
	Group     Name              `cbor:"1,keyasint"`
	Formation Formation         `cbor:"2,keyasint"`
	Rank      foxtailstack.Rank `cbor:"3,keyasint"`
	// Size is the number of ranks.
	Size int `cbor:"4,keyasint"`
	// Open tells that the group works.
	Open bool `cbor:"5,keyasint"`
	// Step is the last pass that was begun.
	Step foxtailstack.Step `cbor:"6,keyasint"`
	// Map is the map in use.
	Map foxtailstack.Epoch `cbor:"7,keyasint"`
	// Prepared is the newest map that is ready for use; zero if there is none.
	Prepared foxtailstack.Epoch `cbor:"8,keyasint,omitempty"`
	// Armed tells that the rank changes to ArmedMap at ArmedStep, as far as
	// the rank says.
	Armed     bool               `cbor:"9,keyasint,omitempty"`
	ArmedMap  foxtailstack.Epoch `cbor:"10,keyasint,omitempty"`
	ArmedStep foxtailstack.Step  `cbor:"11,keyasint,omitempty"`
	// Held tells that the rank holds the group before HeldStep.
	Held     bool              `cbor:"12,keyasint,omitempty"`
	HeldStep foxtailstack.Step `cbor:"13,keyasint,omitempty"`
	// Running and Waiting are the requests at the rank.
	Running int `cbor:"14,keyasint,omitempty"`
	Waiting int `cbor:"15,keyasint,omitempty"`
	// Slowdown is over one if the rank is slow.
	Slowdown float64 `cbor:"16,keyasint"`
}

// Counts says how often the requests of a rank chose each expert since it
// started, set by set.
type Counts struct {
	Formation Formation
	// Chosen holds the counts of all sets, one after the other.
	Chosen []float64
}

// Action is what an order asks for.
type Action string

// The actions.
const (
	Prepare Action = "prepare"
	Arm     Action = "arm"
	Disarm  Action = "disarm"
	Hold    Action = "hold"
	Release Action = "release"
)

// Order asks a rank to do something. Sending it again changes nothing.
type Order struct {
	Action    Action                    `cbor:"1,keyasint"`
	Formation Formation                 `cbor:"2,keyasint"`
	Fence     foxtailstack.FencingToken `cbor:"3,keyasint"`
	// Map is the map to prepare or to arm.
	Map foxtailstack.Epoch `cbor:"4,keyasint,omitempty"`
	// Step is the pass to arm, hold or release.
	Step foxtailstack.Step `cbor:"5,keyasint,omitempty"`
	// Layers is the map to prepare, by set and rank.
	Layers []foxtailstack.ExpertLayer `cbor:"6,keyasint,omitempty"`
	// Patch tells the same shorter, for a sidecar that may know the map before.
	Patch *Patch `cbor:"7,keyasint,omitempty"`
}

// Rank is one rank of a group, near or far.
type Rank interface {
	// Report returns the state of the rank.
	Report(ctx context.Context) (Report, error)
	// Counts returns what the rank's requests chose.
	Counts(ctx context.Context) (Counts, error)
	// Order gives an order. It returns nil if the rank does or has done it.
	Order(ctx context.Context, order Order) error
}
