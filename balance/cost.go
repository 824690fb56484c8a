package balance

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// unknownWait is the wait expected of an upstream that no probe has reached.
const unknownWait = 200 * time.Millisecond

// Cheapest is a foxtailstack.Balancer that picks the candidate of least cost,
// and among equals the first. The zero value is ready for use.
type Cheapest struct{}

// Pick returns the index of the cheapest candidate.
func (Cheapest) Pick(candidates []foxtailstack.Candidate) int {
	best := 0
	for i, candidate := range candidates {
		if costOf(candidate) < costOf(candidates[best]) {
			best = i
		}
	}
	return best
}

// costOf returns the time that a call loses at a candidate.
func costOf(c foxtailstack.Candidate) time.Duration {
	wait := c.Wait
	if !c.Known {
		wait = unknownWait
	}
	return wait + c.Miss + c.Distance
}
