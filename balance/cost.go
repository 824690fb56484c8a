package balance

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// unknownWait is the least wait expected of an upstream that no probe has
	// reached lately.
	unknownWait = 200 * time.Millisecond
	// lately is the age up to which a sighting is believed.
	lately = 2 * time.Second
)

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
	if !c.WaitKnown || c.WaitAge > lately {
		wait = max(wait, unknownWait)
	}
	return wait + c.PrefixMissCost + c.RoundTripTime
}
