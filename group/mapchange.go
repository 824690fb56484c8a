package group

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// ExpertLister returns the experts that a rank holds.
type ExpertLister interface {
	// Experts returns the version of the map in use and the experts of the
	// rank, by layer set.
	Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error)
}

// fetchMap reads from the ranks a map in use that the planner does not know. It
// is due to another planner, or to this one if its switch failed after all ranks
// were armed. The next survey is due at once.
func (p *Planner) fetchMap(ctx context.Context, survey *Survey, version foxtailstack.Epoch) error {
	layers := make([]foxtailstack.ExpertLayer, len(p.layers))
	for s := range layers {
		layers[s] = make(foxtailstack.ExpertLayer, len(survey.Members))
	}
	ranks := slices.Collect(maps.Keys(survey.Members))
	err := concurrently(ranks, func(rank foxtailstack.Rank) error {
		lister, ok := survey.Members[rank].(ExpertLister)
		if !ok {
			return ErrRejected
		}
		got, experts, err := lister.Experts(ctx)
		if err != nil {
			return err
		}
		if got != version || len(experts) != len(layers) {
			return ErrStateMismatch
		}
		for s := range layers {
			layers[s][rank] = experts[s]
		}
		return nil
	})
	if err != nil {
		return err
	}
	p.layers = layers
	p.version = version
	p.surveyNow = true
	p.Log.Info("map learnt from the ranks", zap.Uint64("map", uint64(version)))
	return nil
}

// improveMap changes the map if the demand estimate is steady, minMapInterval has
// passed since the last change and the skew falls by enough to pay for the copies.
// The next survey follows after the usual interval.
func (p *Planner) improveMap(ctx context.Context, survey *Survey, s *switcher, config *route.Group) error {
	if !p.demand.hasLength(config.LayerSets, config.Experts) || !p.demand.Steady() || time.Since(p.lastChange) < minMapInterval {
		return nil
	}
	plan := p.planMap(config, survey.slowdowns(), survey.meanRunning())
	if plan.skewBefore-plan.skewAfter < minSkewGain+skewGainPerCopy*float64(plan.copies) {
		return nil
	}
	p.lastChange = time.Now()
	version, ok := nextVersion(p.highestMap, p.Self, len(survey.Reports))
	if !ok {
		p.Log.Warn("map not changed: the group has no rank of the planner's number",
			zap.Int("rank", int(p.Self)),
			zap.Int("ranks", len(survey.Reports)))
		return nil
	}
	p.highestMap = version
	began := time.Now()
	err := s.prepare(ctx, version, plan.layers, newPatch(p.version, config.Experts, p.layers, plan.layers))
	if err != nil {
		return err
	}
	prepared := time.Now()
	step, times, err := p.switchMap(ctx, s, version)
	if err != nil {
		return err
	}
	p.rounds.add(times.arm)
	p.layers = plan.layers
	p.version = version
	p.StoreDemand(p.demand.Encode())
	p.recordChange(s, mapChange{
		plan:    plan,
		version: version,
		step:    step,
		seen:    survey.step(),
		prepare: prepared.Sub(began),
		total:   time.Since(prepared),
		times:   times,
	})
	return nil
}

// mapChange is a change of map that was made.
type mapChange struct {
	plan    mapPlan
	version foxtailstack.Epoch
	// step is the pass of the change, seen the newest pass when the map was planned.
	step, seen foxtailstack.Step
	// prepare and total are the times to prepare the map and to switch to it, times those of
	// the parts of the switch.
	prepare, total time.Duration
	times          switchTimes
}

// recordChange updates the metrics for a change of map and logs it.
func (p *Planner) recordChange(s *switcher, c mapChange) {
	mapsTotal.Inc()
	copiesTotal.Add(c.plan.copies)
	prepareSeconds.Update(c.prepare.Seconds())
	switchSeconds.Update(c.total.Seconds())
	skewPlanned.Update(c.plan.skewAfter)
	p.Log.Info("map changed",
		zap.Uint64("map", uint64(c.version)),
		zap.Uint64("formation", uint64(s.formation)),
		zap.Uint64("pass", uint64(c.step)),
		zap.Uint64("seen", uint64(c.seen)),
		zap.Float64("skew", c.plan.skewBefore),
		zap.Float64("planned", c.plan.skewAfter),
		zap.Int("copies", c.plan.copies),
		zap.Duration("prepare", c.prepare),
		zap.Duration("switch", c.total),
		zap.Duration("lead", s.leadTime()),
		zap.Duration("hold", c.times.hold),
		zap.Duration("arm", c.times.arm),
		zap.Duration("release", c.times.release),
		zap.Float64("target", c.plan.target),
		zap.Duration("passtime", p.passTime),
		zap.Duration("expected", c.plan.passTime))
}

// switchMap switches the group to a prepared map. If ctx ends meanwhile, the
// switch goes on for at most stopGrace, so that the group is not held until another
// planner takes over.
func (p *Planner) switchMap(ctx context.Context, s *switcher, version foxtailstack.Epoch) (foxtailstack.Step, switchTimes, error) {
	stopping, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(stopGrace, cancel) })()
	return s.switchTo(stopping, version)
}
