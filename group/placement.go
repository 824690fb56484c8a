package group

import (
	"slices"

	"github.com/foxtailstack/foxtailstack"
)

// PlacementLimits limits the layers that Place may return, and says where its
// search ends.
type PlacementLimits struct {
	// ExpertsPerRank is the number of experts of a layer set that one rank
	// can hold.
	ExpertsPerRank int
	// MaxNewExperts is the maximum number of experts of a layer set that a rank may
	// hold in the new map and does not hold in the base.
	MaxNewExperts int
	// NewLeft, unless it is nil, is the number of new experts that each rank may still get,
	// in all layer sets together. A search reduces it by those that it uses.
	NewLeft []int
	// TargetImbalance is the time of the slowest rank, relative to the ideal
	// time, at which the search ends. Values below minTargetImbalance, such as
	// zero, stand for that constant.
	TargetImbalance float64
}

// allowsNew reports whether rank r may get another new expert beside a number of them in
// the layer set.
func (l PlacementLimits) allowsNew(r, inSet int) bool {
	return inSet < l.MaxNewExperts && (l.NewLeft == nil || l.NewLeft[r] > 0)
}

// use reduces NewLeft of rank r by n.
func (l PlacementLimits) use(r, n int) {
	if l.NewLeft != nil {
		l.NewLeft[r] -= n
	}
}

// effectiveTargetImbalance returns TargetImbalance, raised to the minimum.
func (l PlacementLimits) effectiveTargetImbalance() float64 {
	return max(l.TargetImbalance, minTargetImbalance)
}

// InitialMap returns the map that a group opens with, in which the experts are
// assigned to the ranks round-robin.
func InitialMap(ranks, experts, sets int) []foxtailstack.ExpertLayer {
	layers := make([]foxtailstack.ExpertLayer, sets)
	for s := range layers {
		layers[s] = make(foxtailstack.ExpertLayer, ranks)
		for e := range experts {
			r := e % ranks
			layers[s][r] = append(layers[s][r], foxtailstack.Expert(e))
		}
	}
	return layers
}

// Skew returns the time of the slowest rank, divided by the time that every
// rank would take if none was slow and the demand was spread evenly. slowdown
// is by rank: 1 is normal and more is slower. Skew returns 1 if there is no
// demand.
func Skew(layer foxtailstack.ExpertLayer, demand, slowdown []float64) float64 {
	return newSearch(layer, demand, slowdown, PlacementLimits{}).skew()
}

// Place returns a layer on which the demand is spread over the ranks more
// evenly than on base, with less of it on slow ranks. It is a greedy search
// that makes the change with the highest gain first, so that few experts have
// to be copied.
func Place(base foxtailstack.ExpertLayer, demand, slowdown []float64, limits PlacementLimits) foxtailstack.ExpertLayer {
	s := newSearch(base, demand, slowdown, limits)
	for s.improve() {
		continue
	}
	return s.layer
}

// Copies returns the number of experts that ranks have to copy to change from
// base to next.
func Copies(base, next foxtailstack.ExpertLayer) int {
	n := 0
	for r := range next {
		n += copiesTo(base[r], next[r])
	}
	return n
}

// copiesTo returns the number of experts that one rank has to copy.
func copiesTo(base, next []foxtailstack.Expert) int {
	n := 0
	for _, e := range next {
		if !slices.Contains(base, e) {
			n++
		}
	}
	return n
}
