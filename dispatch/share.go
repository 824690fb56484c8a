package dispatch

import (
	"math"
	"math/rand/v2"
)

const (
	// initialLoadShare is the initial value of the moving average, used from the first
	// observation on. minLoadShare is the lowest share that a process assumes for
	// itself, so that a process that gets its first requests can grow.
	initialLoadShare = 0.125
	minLoadShare     = 0.02
	// loadShareWeight is the weight of the newest fraction in the moving average.
	loadShareWeight = 0.1
	// loadShareOvercommit is the factor by which a process exceeds its load share when
	// it takes free slots, since other processes may have nothing to send.
	loadShareOvercommit = 1.5
)

// loadShare is the fraction of the requests at a group that come from this process.
// All processes learn of free slots at the same time. Each takes only its fraction of
// them; otherwise a rank would get many times the requests that it has slots for.
// The zero value is ready for use.
type loadShare struct {
	// fraction is an exponentially weighted moving average.
	fraction float64
	known    bool
}

// observe records the number of requests at the group that come from this process,
// and that of all processes.
func (l *loadShare) observe(own, all int) {
	if all <= 0 {
		return
	}
	fraction := min(1, float64(own)/float64(all))
	if !l.known {
		l.fraction = initialLoadShare
		l.known = true
	}
	l.fraction += loadShareWeight * (fraction - l.fraction)
}

// allowance returns the fraction of the free slots that the process may take: its load
// share, but at least minLoadShare, times loadShareOvercommit, and at most one. It is
// one until a load has been observed.
func (l *loadShare) allowance() float64 {
	if !l.known {
		return 1
	}
	return min(1, loadShareOvercommit*max(minLoadShare, l.fraction))
}

// slotShares divides the free slots of ranks. What rounding leaves over at one rank
// is carried to the next, so that the shares of one status add up to the process's
// fraction of all free slots. Rounded each on its own, the shares of all processes
// would at times add up to half as much again.
type slotShares struct {
	fraction  float64
	remainder float64
}

// newSlotShares returns the shares for a fraction of the free slots. The first share
// is rounded up or down at random, so that the processes do not all take the same
// slots.
func newSlotShares(fraction float64) *slotShares {
	return &slotShares{
		fraction:  fraction,
		remainder: rand.Float64(),
	}
}

// next returns the share of the free slots of the next rank.
func (s *slotShares) next(free int) int {
	exact := float64(free)*s.fraction + s.remainder
	whole := math.Floor(exact)
	s.remainder = exact - whole
	return int(whole)
}
