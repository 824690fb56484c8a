package group

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
)

const (
	// relaxedPassFraction is the fraction of the longest gap between events that callers
	// allow up to which passes may be expected to take under a map that is less even than
	// the search finds. relaxedTargetImbalances apply to such maps.
	relaxedPassFraction = 0.65
	// maxFirstExcess is the part of the imbalance above the target that a map with few
	// copies may leave.
	maxFirstExcess = 0.3
)

// copiesFractions are the shares of the new experts that a rank may have in all layer sets
// together up to which it gets some, in the order in which they are tried.
var copiesFractions = []float64{0.125, 0.25, 0.5}

// relaxedTargetImbalances are the target imbalances of maps that are less even than the
// search finds, in the order in which they are tried.
var relaxedTargetImbalances = []float64{1.22}

// mapPlan is a map that may replace the present one.
type mapPlan struct {
	layers []foxtailstack.ExpertLayer
	// skewBefore and skewAfter are the skews under the present and the new map,
	// averaged over the layer sets.
	skewBefore, skewAfter float64
	copies                int
	// target is the target imbalance of the new map, passTime the expected duration of a
	// pass under it; zero if it is not known.
	target   float64
	passTime time.Duration
}

// passModel predicts the duration of passes under other maps.
type passModel struct {
	// passTime is the present duration of a pass, under a map with the given skew.
	passTime time.Duration
	skew     float64
	// expertTime is the part of it that the experts take, at that skew.
	expertTime time.Duration
}

// newPassModel returns a model from the present duration of a pass and the mean number of
// requests at a rank.
func newPassModel(config *route.Group, passTime time.Duration, running, skew float64) passModel {
	perSequence := time.Duration(config.TokenStepsPerPass) * config.TokenStepTimePerSequence
	expertTime := time.Duration(config.ExpertShare * running * skew * float64(perSequence))
	return passModel{
		passTime:   passTime,
		skew:       skew,
		expertTime: min(expertTime, passTime),
	}
}

// at returns the duration of a pass under a map with another skew.
func (m passModel) at(skew float64) time.Duration {
	return m.passTime - m.expertTime + time.Duration(float64(m.expertTime)*skew/m.skew)
}

// targetImbalance returns the target imbalance of a new map: the highest with which passes
// are expected to take no more than relaxedPassFraction of the gap between events that
// callers allow. A less even map needs fewer copies, which make passes longer and
// delay it.
func (m passModel) targetImbalance(config *route.Group) float64 {
	if m.passTime == 0 {
		return minTargetImbalance
	}
	for _, target := range relaxedTargetImbalances {
		if m.at(target) <= m.limit(config) {
			return target
		}
	}
	return minTargetImbalance
}

// limit returns the longest duration of a pass with which a map is even enough.
func (m passModel) limit(config *route.Group) time.Duration {
	return time.Duration(relaxedPassFraction * float64(config.MaxEventGap))
}

// planMap returns a map for the present demand estimate. running is the mean number of
// requests at a rank. Its load is demand that shifts every few seconds, where a map that
// takes many copies comes late: ranks copy few experts, those that shorten passes most, and
// more only where that does not suffice (see suffices).
func (p *Planner) planMap(config *route.Group, slowdowns []float64, running float64) mapPlan {
	sets := len(p.layers)
	search := newMapSearch(p.layers, func(set int) []float64 {
		return p.demand.ForSet(set, sets)
	}, slowdowns, PlacementLimits{
		ExpertsPerRank: config.ExpertsPerRank,
		MaxNewExperts:  config.MaxNewExperts,
	})
	plan := mapPlan{skewBefore: search.skew()}
	model := newPassModel(config, p.passTime, running, plan.skewBefore)
	plan.target = model.targetImbalance(config)
	search.setTarget(plan.target)
	for _, fraction := range copiesFractions {
		search.extend(int(fraction*float64(sets*config.MaxNewExperts) + 1))
		plan.skewAfter = search.skew()
		plan.passTime = model.at(plan.skewAfter)
		if model.suffices(config, plan) {
			break
		}
	}
	plan.layers = search.layers()
	for s, layer := range p.layers {
		plan.copies += Copies(layer, plan.layers[s])
	}
	return plan
}

// suffices reports whether a map is to be used, although a search with more copies would
// find a more even one: passes under it are expected to take no more than
// relaxedPassFraction of the gap between events that callers allow, or it removes all but
// maxFirstExcess of the imbalance above the target. What is left may be the gain of a
// further change.
func (m passModel) suffices(config *route.Group, plan mapPlan) bool {
	if m.passTime == 0 {
		return false
	}
	if plan.passTime <= m.limit(config) {
		return true
	}
	excess := plan.skewBefore - plan.target
	return plan.skewAfter-plan.target <= maxFirstExcess*excess
}
