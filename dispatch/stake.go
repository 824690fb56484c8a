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

// portion returns a share of n, rounded up or down by chance so that the portions of
// all processes add up to n in the mean.
func portion(n int, share float64) int {
	return int(math.Floor(float64(n)*share + rand.Float64()))
}
