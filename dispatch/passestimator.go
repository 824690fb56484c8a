package dispatch

import (
	"slices"
	"time"
)

const (
	// passSamples is the number of passes that the pass time is estimated from.
	passSamples = 5
	// passTimeTTL is how long an estimate is valid without a further pass.
	passTimeTTL = 2 * time.Second
	// samePassTime is the time within which events count as those of one pass.
	samePassTime = 15 * time.Millisecond
)

// PassCount is a number of passes of a group.
type PassCount uint64

// passEstimator estimates the duration of the passes of a group from the gaps between
// the events of its streams; each pass sends one event to each stream. The number of passes
// per second would not do: a nearly idle group makes few passes. The zero value has no
// estimate.
type passEstimator struct {
	gaps       []time.Duration
	lastPassAt time.Time
	// count is the number of passes detected so far.
	count PassCount
}

// observeGap records that an event came in now, and the gap between it and the event
// before it in its stream. It returns false if the event is taken for another stream's
// event of a pass that is known already.
func (e *passEstimator) observeGap(now time.Time, gap time.Duration) bool {
	if now.Sub(e.lastPassAt) < samePassTime {
		return false
	}
	e.lastPassAt = now
	e.count++
	e.gaps = append(e.gaps, gap)
	if len(e.gaps) > passSamples {
		e.gaps = e.gaps[1:]
	}
	return true
}

// passTime returns the median of the last gaps, or zero if it is not known. The median
// leaves out a single long pass, such as one during which the group was held.
func (e *passEstimator) passTime(now time.Time) time.Duration {
	if len(e.gaps) == 0 || now.Sub(e.lastPassAt) > passTimeTTL {
		return 0
	}
	sorted := slices.Sorted(slices.Values(e.gaps))
	return sorted[(len(sorted)-1)/2]
}
