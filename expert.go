package foxtailstack

import "time"

// Rank numbers the ranks of a group from zero.
type Rank int

// Expert numbers the experts of a layer from zero.
type Expert int

// Epoch numbers the expert maps of a group; a higher one replaces a lower one.
type Epoch uint64

// Step numbers the passes, the lock-step iterations of a group. A pass may have several
// token steps, which have no numbers.
type Step uint64

// ExpertLayer assigns the slots of every rank to experts: ExpertLayer[r][i] is
// the expert in slot i of rank r. An expert may fill several slots, on
// different ranks, which share its load.
type ExpertLayer [][]Expert

// ExpertMap assigns the slots of every rank to experts in all layers of a model.
type ExpertMap struct {
	Epoch  Epoch         `cbor:"1,keyasint"`
	Layers []ExpertLayer `cbor:"2,keyasint"`
}

// ExpertLoad is the smoothed load of the experts of one layer.
type ExpertLoad struct {
	// Tokens is the load of each expert in tokens per pass.
	Tokens []float64
	// SinceShift is the time since the last shift, an abrupt change of the load.
	SinceShift time.Duration
}

// Planner decides when and how the expert map of a group changes.
type Planner interface {
	// Plan returns the next map, given the load of every layer. It returns current
	// unchanged to keep it. A new map shares the unchanged layers with current.
	Plan(now time.Time, current ExpertMap, loads []ExpertLoad) (ExpertMap, error)
}

// StepGate determines the expert map that an engine uses for a pass.
type StepGate interface {
	// Begin returns the epoch of the map for the pass with a number. If it reports
	// false, the rank must not start the pass yet and calls Begin again later.
	Begin(step Step) (Epoch, bool)
}
