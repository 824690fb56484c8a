package dispatch

import (
	"math"
	"math/rand/v2"
)

const (
	// initialQuota is the fraction that a process starts with. minQuota is the lowest
	// one it assumes for itself, so that a process that gets its first requests can
	// grow.
	initialQuota = 0.125
	minQuota     = 0.02
	// quotaWeight is the weight of the newest fraction in the moving average.
	quotaWeight = 0.1
	// quotaOvercommit is the factor by which a process exceeds its quota, since other
	// processes may have nothing to send.
	quotaOvercommit = 1.5
)

// quota is the fraction of the requests at a group that come from this process. All
// processes learn of free slots at the same time. Each takes only its fraction of
// them; otherwise a rank would get many times the requests that it has slots for.
// The zero value is ready for use.
type quota struct {
	// fraction is an exponentially weighted moving average.
	fraction float64
	known    bool
}

// observe records the number of requests at the group that come from this process,
// and that of all processes.
func (q *quota) observe(own, all int) {
	if all <= 0 {
		return
	}
	fraction := min(1, float64(own)/float64(all))
	if !q.known {
		q.fraction = initialQuota
		q.known = true
	}
	q.fraction += quotaWeight * (fraction - q.fraction)
}

// allowance returns the fraction of the free slots that the process may take.
func (q *quota) allowance() float64 {
	if !q.known {
		return 1
	}
	return min(1, quotaOvercommit*max(minQuota, q.fraction))
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
