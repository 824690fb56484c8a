package dispatch

import (
	"math"
	"math/rand/v2"
)

const (
	// initialLoadShare is the initial value of the moving average, used from the first
	// observation on, while the number of entries is not known. minLoadShare is the lowest
	// share that an entry then assumes for itself, so that one that gets its first requests
	// can grow.
	initialLoadShare = 0.125
	minLoadShare     = 0.02
	// minEqualShare is the lowest share as a fraction of an equal share of all entries,
	// once their number is known.
	minEqualShare = 0.5
	// loadShareWeight is the weight of the newest fraction in the moving average.
	loadShareWeight = 0.1
	// loadShareOvercommit is the factor by which an entry exceeds its load share when
	// it takes free slots, since other entries may have nothing to send.
	loadShareOvercommit = 1.5
)

// loadShare is the fraction of the requests at a group that come from this process.
// All entries learn of free slots at the same time. Each takes only its fraction of
// them; otherwise a rank would get many times the requests that it has slots for.
// The zero value is ready for use.
type loadShare struct {
	// fraction is an exponentially weighted moving average.
	fraction float64
	known    bool
	// entries is the number of entries that send requests to the group; zero if it is not
	// known.
	entries int
}

// initial returns the share to assume before a load has been observed: an equal share of
// all entries.
func (l *loadShare) initial() float64 {
	if l.entries == 0 {
		return initialLoadShare
	}
	return 1 / float64(l.entries)
}

// least returns the lowest share to assume.
func (l *loadShare) least() float64 {
	if l.entries == 0 {
		return minLoadShare
	}
	return minEqualShare / float64(l.entries)
}

// observe records the number of requests at the group that come from this process,
// and that of all entries.
func (l *loadShare) observe(own, all int) {
	if all <= 0 {
		return
	}
	fraction := min(1, float64(own)/float64(all))
	if !l.known {
		l.fraction = l.initial()
		l.known = true
	}
	l.fraction += loadShareWeight * (fraction - l.fraction)
}

// allowance returns the fraction of the free slots that this process may take: its load
// share, but at least the least one, times loadShareOvercommit, and at most one. Until a
// load has been observed, it is one if the number of entries is not known either.
func (l *loadShare) allowance() float64 {
	if !l.known && l.entries == 0 {
		return 1
	}
	fraction := l.fraction
	if !l.known {
		fraction = l.initial()
	}
	return min(1, loadShareOvercommit*max(l.least(), fraction))
}

// slotDivider divides the free slots of ranks into quotas, the numbers of them that
// this process may take. What rounding leaves over at one rank is carried to the
// next, so that the quotas of one status add up to this process's fraction of all
// free slots. Rounded each on its own, the quotas of all entries would at times add
// up to half as much again.
type slotDivider struct {
	fraction  float64
	remainder float64
}

// newSlotDivider returns a divider for a fraction of the free slots. The first quota
// is rounded up or down at random, so that the entries do not all take the same
// slots.
func newSlotDivider(fraction float64) *slotDivider {
	return &slotDivider{
		fraction:  fraction,
		remainder: rand.Float64(),
	}
}

// quotaDivider divides the free slots of ranks that all requests may use, and those that the
// least urgent ones may.
type quotaDivider struct {
	all      *slotDivider
	yielding *slotDivider
}

// newQuotaDivider returns a divider for a fraction of the free slots that all requests may use,
// and one of those that the least urgent ones may.
func newQuotaDivider(all, yielding float64) *quotaDivider {
	return &quotaDivider{
		all:      newSlotDivider(all),
		yielding: newSlotDivider(yielding),
	}
}

// next returns the quota of the free slots of the next rank. A negative number of them, of a
// rank with more requests than it has slots for, counts as none, so that it does not lower the
// quotas of others.
func (s *slotDivider) next(free int) int {
	exact := float64(max(0, free))*s.fraction + s.remainder
	whole := math.Floor(exact)
	s.remainder = exact - whole
	return int(whole)
}
