package group

import (
	"slices"

	"github.com/foxtailstack/foxtailstack"
)

// mapSearch is the search for a map, on which the demand of each layer set is spread as
// Place does. Ranks copy at the same time, so that the one with the most new experts decides
// when the map can be used: each gets a limited number in all sets together. The set with the slowest rank, relative to the
// ideal, is improved first. So the first copies go where they shorten passes most, and
// not to the first sets.
type mapSearch struct {
	searches []*search
	// newLeft is the number of new experts that each rank may still get, maxNew the number
	// that each may get in all.
	newLeft []int
	maxNew  int
}

// newMapSearch returns a search that starts from base and allows no copies yet.
func newMapSearch(
	base []foxtailstack.ExpertLayer,
	demand func(set int) []float64,
	slowdown []float64,
	limits PlacementLimits,
) *mapSearch {
	m := &mapSearch{
		searches: make([]*search, len(base)),
		newLeft:  make([]int, len(slowdown)),
	}
	limits.NewLeft = m.newLeft
	for s, layer := range base {
		m.searches[s] = newSearch(layer, demand(s), slowdown, limits)
	}
	return m
}

// setTarget sets the target imbalance of the search (see PlacementLimits).
func (m *mapSearch) setTarget(imbalance float64) {
	for _, s := range m.searches {
		s.limits.TargetImbalance = imbalance
	}
}

// extend goes on with the search until no change helps any more, where each rank may get
// up to maxNew new experts in all.
func (m *mapSearch) extend(maxNew int) {
	for r := range m.newLeft {
		m.newLeft[r] += maxNew - m.maxNew
	}
	m.maxNew = maxNew
	open := slices.Clone(m.searches)
	for len(open) > 0 {
		i := leastEven(open)
		if !open[i].improve() {
			open = slices.Delete(open, i, i+1)
		}
	}
}

// leastEven returns the index of the search whose slowest rank takes the longest, relative
// to the ideal.
func leastEven(searches []*search) int {
	least, longest := 0, 0.0
	for i, s := range searches {
		if s.idealTime > 0 && s.maxTime() > longest {
			least, longest = i, s.maxTime()
		}
	}
	return least
}

// skew returns the skew of the map found so far, averaged over the layer sets.
func (m *mapSearch) skew() float64 {
	if len(m.searches) == 0 {
		return 1
	}
	total := 0.0
	for _, s := range m.searches {
		total += s.skew()
	}
	return total / float64(len(m.searches))
}

// layers returns the map found so far.
func (m *mapSearch) layers() []foxtailstack.ExpertLayer {
	layers := make([]foxtailstack.ExpertLayer, len(m.searches))
	for s, search := range m.searches {
		layers[s] = search.layer
	}
	return layers
}
