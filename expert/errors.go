package expert

import "errors"

// Errors of this package. Test for them with errors.Is.
var (
	// ErrGroup means that a rank or the number of ranks is out of range.
	ErrGroup = errors.New("rank or size of the group out of range")
	// ErrBusy means that the rank cannot begin an attempt now.
	ErrBusy = errors.New("rank cannot begin an attempt now")
	// ErrLoad means that loads are missing, negative or not finite.
	ErrLoad = errors.New("loads do not fit the map")
	// ErrSlots means that a map has too few slots, or ranks differ in theirs.
	ErrSlots = errors.New("slots do not fit the experts")
	// ErrOptions means that an option is negative or out of range.
	ErrOptions = errors.New("option out of range")
)
