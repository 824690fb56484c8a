package expert

import "errors"

// Errors of this package. Test for them with errors.Is.
var (
	// ErrInvalidGroup means that a rank, a generation or the size of a group is
	// out of range.
	ErrInvalidGroup = errors.New("rank, generation or group size out of range")
	// ErrBusy means that the rank cannot start an attempt in its present state,
	// or that Agent.Run has ended.
	ErrBusy = errors.New("rank cannot start an attempt now")
	// ErrLoad means that loads are missing, negative or not finite, that the
	// number of layers or experts is not the expected one, that a LoadReport is
	// malformed, or that a sampling interval is not positive.
	ErrLoad = errors.New("invalid expert loads")
	// ErrSlots means that a map lacks an expert, holds an expert twice on a
	// rank or holds one out of range, that it has too few or too many slots, or
	// that its layers have no ranks or different numbers of ranks.
	ErrSlots = errors.New("slots do not match the experts")
	// ErrOptions means that an option is negative or out of range.
	ErrOptions = errors.New("option out of range")
)
