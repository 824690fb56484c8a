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
	// maxCopiesFraction is the share of the new experts that a rank may have in all layer
	// sets together up to which it gets some.
	maxCopiesFraction = 0.5
)

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
	limit := time.Duration(relaxedPassFraction * float64(config.MaxEventGap))
	for _, target := range relaxedTargetImbalances {
		if m.at(target) <= limit {
			return target
		}
	}
	return minTargetImbalance
}

// planMap returns the best map found for the present demand estimate. running is the mean
// number of requests at a rank.
func (p *Planner) planMap(config *route.Group, slowdowns []float64, running float64) mapPlan {
	sets := len(p.layers)
	demand := func(set int) []float64 { return p.demand.ForSet(set, sets) }
	plan := mapPlan{}
	for s, layer := range p.layers {
		plan.skewBefore += Skew(layer, demand(s), slowdowns) / float64(sets)
	}
	model := newPassModel(config, p.passTime, running, plan.skewBefore)
	plan.target = model.targetImbalance(config)
	plan.layers = PlaceAll(p.layers, demand, slowdowns, PlacementLimits{
		ExpertsPerRank:  config.ExpertsPerRank,
		MaxNewExperts:   config.MaxNewExperts,
		TargetImbalance: plan.target,
	}, int(maxCopiesFraction*float64(sets*config.MaxNewExperts)+1))
	for s, layer := range p.layers {
		plan.skewAfter += Skew(plan.layers[s], demand(s), slowdowns) / float64(sets)
		plan.copies += Copies(layer, plan.layers[s])
	}
	plan.passTime = model.at(plan.skewAfter)
	return plan
}
