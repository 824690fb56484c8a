package group

import (
	"context"
	"errors"

	"github.com/foxtailstack/foxtailstack"
)

// Errors of orders. After any other error the rank may still carry out the
// order later.
var (
	// ErrStateMismatch means that the order does not fit the state of the rank.
	ErrStateMismatch = errors.New("order does not fit the state of the rank")
	// ErrFenced means that the rank or its sidecar has seen a higher fencing
	// token.
	ErrFenced = errors.New("rank has seen a higher fencing token")
	// ErrUnknownBase means that a sidecar does not have the map that a patch
	// applies to.
	ErrUnknownBase = errors.New("sidecar does not know the map that the patch applies to")
	// ErrRejected means that the rank does not accept the order at all.
	ErrRejected = errors.New("rank rejected the order")
)

// Name is the name of a group.
type Name string

// Formation is the number of an opening of a group.
type Formation uint64

// Report is the state of one rank.
type Report struct {
	Group     Name              `cbor:"1,keyasint"`
	Formation Formation         `cbor:"2,keyasint"`
	Rank      foxtailstack.Rank `cbor:"3,keyasint"`
	// Size is the number of ranks of the group.
	Size int `cbor:"4,keyasint"`
	// Open is set while the group is open and works.
	Open bool `cbor:"5,keyasint"`
	// Step is the number of the last pass that has begun.
	Step foxtailstack.Step `cbor:"6,keyasint"`
	// Map is the version of the map in use.
	Map foxtailstack.Epoch `cbor:"7,keyasint"`
	// Prepared is the version of the newest map that is ready for use; zero if
	// there is none.
	Prepared foxtailstack.Epoch `cbor:"8,keyasint,omitempty"`
	// Armed is set if the rank reports that it will change to ArmedMap at
	// pass ArmedStep.
	Armed     bool               `cbor:"9,keyasint,omitempty"`
	ArmedMap  foxtailstack.Epoch `cbor:"10,keyasint,omitempty"`
	ArmedStep foxtailstack.Step  `cbor:"11,keyasint,omitempty"`
	// Held is set if the rank holds the group before pass HeldStep.
	Held     bool              `cbor:"12,keyasint,omitempty"`
	HeldStep foxtailstack.Step `cbor:"13,keyasint,omitempty"`
	// Running and Waiting are the numbers of requests that are running and
	// waiting at the rank.
	Running int `cbor:"14,keyasint,omitempty"`
	Waiting int `cbor:"15,keyasint,omitempty"`
	// Slowdown is the pass time of the rank over the usual one. One is normal;
	// more means that the rank is slow.
	Slowdown float64 `cbor:"16,keyasint"`
	// Limit is the rate of requests that the rank takes from all entries together; zero if
	// it names none.
	Limit foxtailstack.RequestRate `cbor:"17,keyasint,omitempty"`
}

// Counts holds how often the requests of a rank chose each expert since the
// rank started, by layer set.
type Counts struct {
	Formation Formation
	// Chosen holds the counts of all layer sets, one after the other.
	Chosen []float64
}

// Action is the kind of an order.
type Action string

// The actions. Prepare copies the experts of a map, Arm schedules the change to
// it at a pass, Disarm cancels that, Hold keeps the group from beginning a
// pass, and Release ends the hold.
const (
	Prepare Action = "prepare"
	Arm     Action = "arm"
	Disarm  Action = "disarm"
	Hold    Action = "hold"
	Release Action = "release"
)

// Order is an order of the planner to a rank. Orders are idempotent.
type Order struct {
	Action    Action                    `cbor:"1,keyasint"`
	Formation Formation                 `cbor:"2,keyasint"`
	Fence     foxtailstack.FencingToken `cbor:"3,keyasint"`
	// Map is the version of the map to prepare, arm or disarm.
	Map foxtailstack.Epoch `cbor:"4,keyasint,omitempty"`
	// Step is the pass at which to change maps, or before which to hold the
	// group, or whose hold to release.
	Step foxtailstack.Step `cbor:"5,keyasint,omitempty"`
	// Layers is the map to prepare, by layer set and rank.
	Layers []foxtailstack.ExpertLayer `cbor:"6,keyasint,omitempty"`
	// Patch is a shorter form of Layers, for a sidecar that has the patch's
	// base.
	Patch *Patch `cbor:"7,keyasint,omitempty"`
	// Group is the group that the order is for, within which Fence means something.
	Group Name `cbor:"8,keyasint,omitempty"`
}

// Rank is one rank of a group, local or remote.
type Rank interface {
	// Report returns the state of the rank.
	Report(ctx context.Context) (Report, error)
	// Counts returns how often the rank's requests chose each expert.
	Counts(ctx context.Context) (Counts, error)
	// Order sends an order. It returns nil if the rank carries the order out or
	// has done so before.
	Order(ctx context.Context, order Order) error
}
