package dispatch

import (
	"math"
	"math/rand/v2"
)

const (
	// firstStake is the part of a process that begins to learn it, leastStake the
	// least that it takes itself to have, so that one that gets its first requests
	// can grow.
	firstStake = 0.125
	leastStake = 0.02
	// stakeWeight is the weight of the newest part in the usual one.
	stakeWeight = 0.1
	// stakeSlack is how much more than its part an entry takes, since others may
	// have nothing to send.
	stakeSlack = 1.5
)

// stake is the part of the requests at a group that are of this process. All
// processes are told of free slots at the same time; each takes its part of them
// only, or a rank would get many times what it has room for. The zero value is ready
// for use.
type stake struct {
	part  float64
	known bool
}

// learn takes how many requests of all at the group are of this process.
func (s *stake) learn(own, all int) {
	if all <= 0 {
		return
	}
	part := min(1, float64(own)/float64(all))
	if !s.known {
		s.part = firstStake
		s.known = true
	}
	s.part += stakeWeight * (part - s.part)
}

// share returns the part of free slots that the process may take.
func (s *stake) share() float64 {
	if !s.known {
		return 1
	}
	return min(1, stakeSlack*max(leastStake, s.part))
}

// portions splits the free slots of ranks. What rounding leaves over of one rank goes
// to the next, so that the portions of a status add up to the process's share of all:
// rounded each by itself, they would now and then add up to half as much again over
// all processes.
type portions struct {
	share float64
	rest  float64
}

// newPortions returns portions of a share, the first of which is rounded up or down by
// chance, so that the processes do not all take the same slots.
func newPortions(share float64) *portions {
	return &portions{
		share: share,
		rest:  rand.Float64(),
	}
}

// next returns the portion of the n free slots of the next rank.
func (p *portions) next(n int) int {
	exact := float64(n)*p.share + p.rest
	whole := math.Floor(exact)
	p.rest = exact - whole
	return int(whole)
}
