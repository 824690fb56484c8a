package dispatch

import (
	"math"
	"time"
)

const (
	// paceTime is the time over which the duration of a group's passes is averaged. It is
	// longer than the time from a shift of demand until the expert map follows, in which the
	// passes of any group are long.
	paceTime = 3 * time.Second
	// slowGroupRatio is how many times as long as those of the fastest group the passes of
	// a group take from which on it gets fewer requests.
	slowGroupRatio = 1.5
)

// groupPace averages the duration of a group's passes. Its load is a service of several
// groups of which one is slow for long: the events of all its streams come late, however
// few requests its ranks have. The zero value has no average.
type groupPace struct {
	average time.Duration
	// updatedAt is the end of the last pass that was observed.
	updatedAt time.Time
}

// observe adds a pass that has ended now.
func (p *groupPace) observe(pass time.Duration, now time.Time) {
	if !p.known(now) {
		p.average = pass
	}
	weight := 1 - math.Exp(-float64(pass)/float64(paceTime))
	p.average += time.Duration(weight * float64(pass-p.average))
	p.updatedAt = now
}

// known reports whether there is an average. A group that gets no requests makes no passes,
// and is tried again after a time.
func (p *groupPace) known(now time.Time) bool {
	return p.average > 0 && now.Sub(p.updatedAt) <= passTimeTTL
}

// fastestPace returns the shortest average duration of a pass of the groups, or zero if none
// is known.
func (q *queue) fastestPace(now time.Time) time.Duration {
	fastest := time.Duration(0)
	for _, group := range q.groups {
		pace := &group.pace
		if pace.known(now) && (fastest == 0 || pace.average < fastest) {
			fastest = pace.average
		}
	}
	return fastest
}

// costFactor returns by how much more a request costs at the ranks of the group than by their
// load alone, given the pace of the fastest group: the square of how many times as long the
// passes take, if that is slowGroupRatio or more. A request occupies its slot for so much
// longer, and each of its events comes so much later.
func (p *groupPace) costFactor(fastest time.Duration, now time.Time) float64 {
	if fastest <= 0 || !p.known(now) {
		return 1
	}
	ratio := float64(p.average) / float64(fastest)
	if ratio < slowGroupRatio {
		return 1
	}
	return ratio * ratio
}
