package expert

import "errors"

// Errors of this package. Test for them with errors.Is.
var (
	// ErrInvalidGroup means that a rank, a generation or the size of a group is
	// out of range.
	ErrInvalidGroup = errors.New("rank, generation or group size out of range")
	// ErrBusy means that the rank cannot start an attempt in its present state.
	ErrBusy = errors.New("rank cannot begin an attempt now")
	// ErrLoad means that loads are missing, negative or not finite, or do not
	// match the map.
	ErrLoad = errors.New("loads do not match the map")
	// ErrSlots means that a map lacks an expert, holds an expert twice on a
	// rank, or has too few or too many slots.
	ErrSlots = errors.New("slots do not match the experts")
	// ErrOptions means that an option is negative or out of range.
	ErrOptions = errors.New("option out of range")
)
