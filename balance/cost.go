package balance

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// minUnobservedWait is the minimum queueing time assumed for an upstream
	// whose load is unknown or older than maxTrustedAge.
	minUnobservedWait = 200 * time.Millisecond
	// maxTrustedAge is the maximum age at which an observed load is still
	// trusted.
	maxTrustedAge = 2 * time.Second
)

// Cheapest is a foxtailstack.Balancer that picks the candidate of lowest cost.
// Of several candidates with that cost it picks the first. The zero value is
// ready for use.
type Cheapest struct{}

// Pick returns the index of the candidate of lowest cost.
func (Cheapest) Pick(candidates []foxtailstack.Candidate) int {
	best := 0
	for i, candidate := range candidates {
		if costOf(candidate) < costOf(candidates[best]) {
			best = i
		}
	}
	return best
}

// costOf returns the time that a call is expected to spend on waiting, on a prefix
// cache miss and on the network if it is sent to a candidate.
func costOf(c foxtailstack.Candidate) time.Duration {
	wait := c.Wait
	if !c.WaitKnown || c.WaitAge > maxTrustedAge {
		wait = max(wait, minUnobservedWait)
	}
	return wait + c.PrefixMissCost + c.RoundTripTime
}
