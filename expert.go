package foxtailstack

// Rank numbers the ranks of a group from zero.
type Rank int

// Expert numbers the experts of a layer from zero.
type Expert int

// Epoch numbers the expert maps of a group; a higher one replaces a lower one.
type Epoch uint64

// Step numbers the lock-step iterations of a group.
type Step uint64

// ExpertMap assigns the slots of every rank to experts, for one layer:
// Slots[r][i] is the expert in slot i of rank r. An expert may fill several
// slots, on different ranks, which share its load.
type ExpertMap struct {
	Epoch Epoch
	Slots [][]Expert
}

// Planner decides when and how the expert map of a group changes.
type Planner interface {
	// Plan returns the next map for one layer, given the smoothed load of each
	// expert in tokens a step. It returns current unchanged to keep it.
	Plan(current ExpertMap, load []float64) ExpertMap
}
