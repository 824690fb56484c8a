package dispatch

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// limitPasses is the number of passes from which a slotLimit learns. They span a
	// shift of demand and the time after it.
	limitPasses = 64
	// limitQuantile is the share of these passes that are to be short enough. The longest
	// ones are left out, such as those during which a group was held.
	limitQuantile = 0.94
	// gapMargin is the fraction of the allowed gap between events that a pass may take.
	gapMargin = 0.9
	// minSlotFraction is the least fraction of the slots that are used. Passes that would
	// still be too long then are so for other reasons.
	minSlotFraction = 0.4
)

// PassBounds is what is known beforehand of the passes of a group.
type PassBounds struct {
	// Base is the duration of a pass without requests.
	Base time.Duration
	// PerRequest is what each request at a rank adds to it if the demand for experts is
	// spread evenly.
	PerRequest time.Duration
	// MaxEventGap is the longest gap between two events with which a response is on time;
	// zero if there is no such limit.
	MaxEventGap time.Duration
}

// slotLimit limits how many slots of each rank are used, so that the passes of the group
// stay within the gap between events that callers allow. Each request at a rank makes every
// pass longer, and more so after a shift of demand, until the expert map follows. If demand
// shifts more often than streams end, nearly every stream meets such passes. The zero value
// sets no limit.
type slotLimit struct {
	bounds PassBounds
	// running is the mean number of requests at a rank.
	running float64
	// costs holds what one request at each rank added to the duration of the last passes,
	// and cost is their limitQuantile; zero if they are too few.
	costs []time.Duration
	cost  time.Duration
}

// observeRunning records the mean number of requests at a rank.
func (l *slotLimit) observeRunning(running float64) {
	l.running = running
}

// observePass records the duration of a pass. It is ignored while few of the slots are in
// use: what a pass then takes has little to do with their number.
func (l *slotLimit) observePass(d time.Duration, slots int) {
	if l.running < minSlotFraction*float64(slots) || l.running <= 0 {
		return
	}
	cost := time.Duration(float64(max(0, d-l.bounds.Base)) / l.running)
	l.costs = append(l.costs, cost)
	if len(l.costs) > limitPasses {
		l.costs = l.costs[1:]
	}
	if len(l.costs) < limitPasses/2 {
		return
	}
	sorted := slices.Sorted(slices.Values(l.costs))
	l.cost = sorted[int(limitQuantile*float64(len(sorted)-1))]
}

// slots returns how many of a rank's slots are used. The limit is mostly no whole number:
// phase, from 0 to below 1, decides whether the rank gets the number above or below it.
func (l *slotLimit) slots(all int, phase float64) int {
	if l.cost <= 0 || l.bounds.MaxEventGap <= 0 {
		return all
	}
	room := time.Duration(gapMargin*float64(l.bounds.MaxEventGap)) - l.bounds.Base
	limit := max(float64(room)/float64(l.cost), minSlotFraction*float64(all))
	return min(all, int(limit+phase))
}

// phaseOf returns a number from 0 to below 1 that is evenly spread over names.
func phaseOf(names ...string) float64 {
	var digest xxh3.Hasher
	for _, name := range names {
		_, _ = digest.WriteString(name) // never fails
	}
	return float64(uint32(digest.Sum64())) / (1 << 32)
}
