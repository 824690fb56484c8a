package group

import (
	"context"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

const (
	// surveyPause is the time between two surveys, shiftPause that while demand has
	// shifted and the new one is not known yet.
	surveyPause = 100 * time.Millisecond
	shiftPause  = 60 * time.Millisecond
	// easyEnough is how even a map has to be while a pass takes less than easyShare
	// of the longest pause between events.
	easyEnough = 1.22
	easyShare  = 0.55
	// stopTime is how long a planner that is told to stop goes on with a switch.
	stopTime = 2 * time.Second
	// membersPause is the time between two looks for members that are not known yet.
	membersPause = 20 * time.Millisecond
	// planPause is the least time between two changes of map.
	planPause = 500 * time.Millisecond
	// gainFloor is the least fall of the skew for which a map is changed.
	gainFloor = 0.2
	// gainPerCopy is by how much that rises for each expert to copy.
	gainPerCopy = 0.001
)

// Planner changes the maps of one group while its sidecar is the one to plan.
type Planner struct {
	Name  Name
	Fence foxtailstack.FencingToken
	// Self is the rank beside the planner.
	Self foxtailstack.Rank
	// Members returns all ranks that may belong to the group.
	Members func() []Member
	// Shape describes the engines; nil if it is not known yet.
	Shape func() *route.Group
	// StoreDemand is given the demand after each change of map.
	StoreDemand func(demand []byte)
	// Publish is given what entries are told after each survey.
	Publish func(status *Status)
	Log     *zap.Logger

	roster roster
	// missing tells that the last survey lacked a rank.
	missing   bool
	demand    Demand
	formation Formation
	layers    []foxtailstack.ExpertLayer
	version   foxtailstack.Epoch
	// tried is the highest map that was ever prepared.
	tried   foxtailstack.Epoch
	changed time.Time
	// planted is the formation in which so many ranks know the fencing number.
	planted      Formation
	plantedRanks int
	// settled tells that no switch was open at the last survey after that.
	settled bool
	// urgent tells that the next survey is due at once.
	urgent bool
	// pass is the time of a pass at the last survey; zero if the group was idle.
	pass   time.Duration
	passes passClock
}

// RestoreDemand takes over the demand that a former planner has remembered.
func (p *Planner) RestoreDemand(demand []byte) {
	p.demand.Restore(demand)
}

// Run plans until ctx ends or another planner takes over. It returns ErrLost in
// that case.
func (p *Planner) Run(ctx context.Context) error {
	for {
		began := time.Now()
		members := p.Members()
		if len(members) == 0 {
			err := clock.Sleep(ctx, membersPause)
			if err != nil {
				return err
			}
			continue
		}
		asked := p.roster.pick(p.Name, members, p.missing, began)
		survey := look(ctx, p.Name, asked, p.grace())
		p.roster.learn(members, survey.Groups)
		p.missing = !survey.Complete()
		surveysTotal.Inc()
		if !survey.Complete() {
			incompleteTotal.Inc()
		}
		if survey.Fenced {
			return ErrSuperseded
		}
		p.pass = p.passes.mean(survey.step(), began)
		p.Publish(&Status{
			Group: p.Name,
			Ranks: survey.ranks(),
		})
		p.urgent = false
		err := p.act(ctx, &survey)
		if err != nil {
			failedTotal.Inc()
			p.Log.Info("switch not done", zap.Error(err))
		}
		if isLost(err) {
			return ErrSuperseded
		}
		if p.urgent && err == nil {
			continue
		}
		err = clock.Sleep(ctx, p.pause()-time.Since(began))
		if err != nil {
			return err
		}
	}
}

// pause returns the time between two surveys.
func (p *Planner) pause() time.Duration {
	if p.demand.Steady() {
		return surveyPause
	}
	return shiftPause
}

// grace returns how long a survey waits for the last rank beyond the others. A
// group that is held stands still, and the rank that does not answer is likely
// that of the planner that held it.
func (p *Planner) grace() time.Duration {
	if p.settled {
		return 0
	}
	return lastGrace
}

// act does what a survey calls for.
func (p *Planner) act(ctx context.Context, survey *Survey) error {
	shape := p.Shape()
	if shape == nil {
		return nil
	}
	p.sample(survey, shape)
	s := newSwitcher(survey, p.Self, p.Fence, p.Log)
	s.pass = p.pass
	if len(survey.Reports) == 0 || !survey.together() {
		return nil
	}
	p.settled = p.planted == s.formation && !survey.unsettled()
	if p.planted != s.formation || p.plantedRanks != len(survey.Reports) {
		return p.plant(ctx, survey, s)
	}
	if version, ok := survey.silentMaker(); ok {
		return s.abandon(ctx, survey, version)
	}
	if !survey.Complete() {
		return nil
	}
	p.adopt(survey, shape)
	if survey.unsettled() {
		return s.settle(ctx, survey)
	}
	common, ok := survey.commonMap()
	if !ok {
		return nil // the ranks answered at different times during a switch
	}
	if common != p.version {
		return p.learn(ctx, survey, common)
	}
	return p.improve(ctx, survey, s, shape)
}

// sample takes what the requests of ranks chose into the demand. The first requests
// of a group that has just opened are few and tell little; what was in demand before
// serves better until its first map.
func (p *Planner) sample(survey *Survey, shape *route.Group) {
	known := p.demand.fits(shape.LayerSets, shape.Experts)
	if known && p.formation != 0 && p.formation != survey.formation() {
		return
	}
	for _, sample := range survey.Samples {
		p.demand.Add(sample)
	}
	wasSteady := p.demand.Steady()
	distance := p.demand.EndWindow(time.Now(), shape.LayerSets)
	if wasSteady && !p.demand.Steady() {
		shiftsTotal.Inc()
		p.Log.Info("demand shifted", zap.Float64("distance", distance))
	}
}

// plant makes all ranks that answered know the fencing number, so that whatever
// former planners have sent is refused when it comes. What is to be done then
// follows from the next survey.
func (p *Planner) plant(ctx context.Context, survey *Survey, s *switcher) error {
	err := s.plant(ctx)
	if err != nil {
		return err
	}
	p.planted = s.formation
	p.plantedRanks = len(survey.Reports)
	p.urgent = true
	return nil
}

// adopt starts anew if the group has.
func (p *Planner) adopt(survey *Survey, shape *route.Group) {
	p.tried = max(p.tried, survey.newestMap())
	if p.formation == survey.formation() {
		return
	}
	p.formation = survey.formation()
	p.layers = InitialMap(len(survey.Reports), shape.Experts, shape.LayerSets)
	p.version = 0
	p.tried = survey.newestMap()
}

// ExpertLister tells which experts a rank holds.
type ExpertLister interface {
	// Experts returns the map in use and the experts of the rank by set.
	Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error)
}

// learn asks the ranks for a map that another planner has put into force.
func (p *Planner) learn(ctx context.Context, survey *Survey, version foxtailstack.Epoch) error {
	layers := make([]foxtailstack.ExpertLayer, len(p.layers))
	for s := range layers {
		layers[s] = make(foxtailstack.ExpertLayer, len(survey.Members))
	}
	for rank, member := range survey.Members {
		lister, ok := member.(ExpertLister)
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
	}
	p.layers = layers
	p.version = version
	p.urgent = true
	p.Log.Info("map learnt from the ranks", zap.Uint64("map", uint64(version)))
	return nil
}

// improve changes the map if that is worth it.
func (p *Planner) improve(ctx context.Context, survey *Survey, s *switcher, shape *route.Group) error {
	if !p.demand.fits(shape.LayerSets, shape.Experts) || !p.demand.Steady() || time.Since(p.changed) < planPause {
		return nil
	}
	plan := p.plan(shape, survey.pace())
	if plan.before-plan.after < gainFloor+gainPerCopy*float64(plan.copies) {
		return nil
	}
	p.changed = time.Now()
	p.tried = nextMade(p.tried, p.Self, len(survey.Reports))
	version := p.tried
	began := time.Now()
	err := s.prepare(ctx, version, plan.layers, newPatch(p.version, shape.Experts, p.layers, plan.layers))
	if err != nil {
		return err
	}
	prepared := time.Now()
	step, err := p.change(ctx, s, version)
	if err != nil {
		return err
	}
	p.layers = plan.layers
	p.version = version
	p.StoreDemand(p.demand.Encode())
	mapsTotal.Inc()
	copiesTotal.Add(plan.copies)
	prepareSeconds.Update(prepared.Sub(began).Seconds())
	switchSeconds.Update(time.Since(prepared).Seconds())
	skewPlanned.Update(plan.after)
	p.Log.Info("map changed",
		zap.Uint64("map", uint64(version)),
		zap.Uint64("formation", uint64(s.formation)),
		zap.Uint64("pass", uint64(step)),
		zap.Uint64("seen", uint64(survey.step())),
		zap.Float64("skew", plan.before),
		zap.Float64("planned", plan.after),
		zap.Int("copies", plan.copies),
		zap.Duration("prepare", prepared.Sub(began)),
		zap.Duration("switch", time.Since(prepared)))
	return nil
}

// change switches the group to a map. A planner that is told to stop ends the
// switch first, so that the group does not wait for its successor.
func (p *Planner) change(ctx context.Context, s *switcher, version foxtailstack.Epoch) (foxtailstack.Step, error) {
	stopping, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(stopTime, cancel) })()
	return s.change(stopping, version)
}

// plan is a map that could replace the present one.
type plan struct {
	layers []foxtailstack.ExpertLayer
	// before and after are the mean skews of the sets.
	before, after float64
	copies        int
}

// enough returns how even a map has to be. While passes are much shorter than the
// pause that callers allow, a less even map serves as well and copies less.
func (p *Planner) enough(shape *route.Group) float64 {
	if p.pass == 0 || float64(p.pass) > easyShare*float64(shape.MaxEventGap) {
		return leastEnough
	}
	return easyEnough
}

// plan returns the best map found for the present demand.
func (p *Planner) plan(shape *route.Group, pace []float64) plan {
	room := PlacementLimits{
		Places:          shape.ExpertsPerRank,
		Spare:           shape.MaxNewExperts,
		TargetImbalance: p.enough(shape),
	}
	found := plan{layers: make([]foxtailstack.ExpertLayer, len(p.layers))}
	for s, layer := range p.layers {
		demand := p.demand.ForSet(s, len(p.layers))
		next := Place(layer, demand, pace, room)
		found.layers[s] = next
		found.before += Skew(layer, demand, pace) / float64(len(p.layers))
		found.after += Skew(next, demand, pace) / float64(len(p.layers))
		found.copies += Copies(layer, next)
	}
	return found
}

// passClock takes the time of passes.
type passClock struct {
	step foxtailstack.Step
	at   time.Time
}

// mean returns the mean time of the passes since the last call, or zero if there
// were none.
func (c *passClock) mean(step foxtailstack.Step, now time.Time) time.Duration {
	last := *c
	c.step = step
	c.at = now
	if last.at.IsZero() || step <= last.step {
		return 0
	}
	return now.Sub(last.at) / time.Duration(step-last.step)
}
