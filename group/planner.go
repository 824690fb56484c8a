package group

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

const (
	// surveyInterval is the time between two surveys. shiftSurveyInterval is
	// the time between them while there is no steady estimate: at first and
	// after a shift of demand.
	surveyInterval      = 100 * time.Millisecond
	shiftSurveyInterval = 60 * time.Millisecond
	// stopGrace is the time that a planner which is told to stop has to
	// complete a switch.
	stopGrace = 2 * time.Second
	// membersPollInterval is the time between two calls of Members until it
	// returns ranks.
	membersPollInterval = 20 * time.Millisecond
	// minMapInterval is the minimum time between the starts of two changes of
	// map.
	minMapInterval = 500 * time.Millisecond
	// minSkewGain is the minimum decrease of the skew for which the map is
	// changed.
	minSkewGain = 0.2
	// skewGainPerCopy is added to that minimum for each expert to copy.
	skewGainPerCopy = 0.001
	// sampleBytesPerSecond bounds what the samples take of the link of the planner's
	// machine while the demand is steady.
	sampleBytesPerSecond = 80_000
)

// Planner changes the expert maps of one group as long as its sidecar is
// elected. Its exported fields must be set before Run is called.
type Planner struct {
	Name  Name
	Fence foxtailstack.FencingToken
	// Size is the number of ranks of the group, and Known holds the addresses of those that
	// were its members lately. Both may be zero.
	Size  int
	Known []foxtailstack.Address
	// Self is the rank beside the planner.
	Self foxtailstack.Rank
	// Members returns all ranks that may belong to the group.
	Members func() []Member
	// GroupConfig returns the configuration of the group, or nil if it is not known
	// yet.
	GroupConfig func() *route.Group
	// StoreDemand is called with the encoded demand estimate after each change
	// of map.
	StoreDemand func(demand []byte)
	// StoreMembers, unless it is nil, is called with the addresses of all ranks of the group
	// after a complete survey in which they differ from Known.
	StoreMembers func(addresses []foxtailstack.Address)
	// Publish is called with the status for entries after each survey.
	Publish func(status *StatusMessage)
	Log     *zap.Logger

	roster roster
	// incomplete is set if the last survey lacked a rank.
	incomplete bool
	demand     Demand
	formation  Formation
	layers     []foxtailstack.ExpertLayer
	version    foxtailstack.Epoch
	// highestMap is the highest version of a map that was ever prepared in the
	// formation.
	highestMap foxtailstack.Epoch
	lastChange time.Time
	// announcedFormation is the formation in which the ranks in announced know the
	// fencing token of this planner.
	announcedFormation Formation
	announced          map[foxtailstack.Rank]bool
	// settled is set if no switch was open at the last survey after that
	// announcement.
	settled bool
	// surveyNow is set if the next survey is due at once.
	surveyNow bool
	// passTime is the mean time of the passes in the last passMeterTime; zero if the
	// group was idle.
	passTime time.Duration
	passes   passMeter
	// rounds holds the times that orders to all ranks have taken.
	rounds roundMeter
	// lastSamples is the time of the last survey with samples, sampleBytes their size.
	lastSamples time.Time
	sampleBytes int
	// status is the status of the last survey, published at publishedAt. The next survey
	// passes it on, with its table of ranks if sendTable is set.
	status      *StatusMessage
	publishedAt time.Time
	sendTable   bool
	// fanOut, if it is not zero, replaces treeFanOut.
	fanOut int
}

// RestoreDemand restores the demand estimate that the last planner stored.
func (p *Planner) RestoreDemand(demand []byte) {
	p.demand.Restore(demand)
}

// Run surveys the group and changes its map until ctx ends or another planner
// takes over. It returns ErrSuperseded in the latter case.
func (p *Planner) Run(ctx context.Context) error {
	p.roster.restore(p.Name, p.Known)
	for {
		began := time.Now()
		members := p.Members()
		if len(members) == 0 {
			err := clock.Sleep(ctx, membersPollInterval)
			if err != nil {
				return err
			}
			continue
		}
		asked := p.identify(ctx, members, began)
		survey := takeSurvey(ctx, p.nextSurvey(asked, began))
		p.roster.update(members, asked, survey.Groups)
		p.incomplete = !survey.Complete()
		if size, ok := survey.size(); ok {
			p.Size = size
		}
		p.storeMembers(&survey)
		surveysTotal.Inc()
		if !survey.Complete() {
			incompleteSurveysTotal.Inc()
		}
		if survey.Fenced {
			return ErrSuperseded
		}
		p.passTime = p.passes.mean(survey.step(), began)
		p.publish(&survey)
		p.surveyNow = false
		err := p.handleSurvey(ctx, &survey)
		if err != nil {
			failedSwitchesTotal.Inc()
			p.Log.Info("switch not done", zap.Error(err))
		}
		if isSuperseded(err) {
			return ErrSuperseded
		}
		if p.surveyNow && err == nil {
			continue
		}
		err = clock.Sleep(ctx, p.interval()-time.Since(began))
		if err != nil {
			return err
		}
	}
}

// identify returns the members of the group that are known. It asks for the groups of
// others while the group lacks a rank, and waits for the answers if no member is known.
func (p *Planner) identify(ctx context.Context, members []Member, now time.Time) []Member {
	p.roster.collect(false)
	p.roster.ask(ctx, p.roster.question(p.Name, members, p.Size, p.incomplete, now), p.treeFanOut())
	known := p.roster.pick(p.Name, members)
	if len(known) == 0 {
		p.roster.collect(true)
		known = p.roster.pick(p.Name, members)
	}
	return known
}

// storeMembers stores the addresses of the members of a complete survey if they have
// changed. The next planner then need not ask who belongs to the group.
func (p *Planner) storeMembers(survey *Survey) {
	if p.incomplete || p.StoreMembers == nil {
		return
	}
	addresses := make([]foxtailstack.Address, 0, len(survey.Members))
	for _, member := range survey.Members {
		addresses = append(addresses, member.Address())
	}
	slices.Sort(addresses)
	if slices.Equal(addresses, p.Known) {
		return
	}
	p.Known = addresses
	p.StoreMembers(addresses)
}

// nextSurvey returns the request for a survey of members.
func (p *Planner) nextSurvey(asked []Member, now time.Time) surveyRequest {
	request := surveyRequest{
		name:  p.Name,
		tree:  p.roster.tree(asked, p.treeFanOut()),
		grace: p.grace(),
	}
	request.withSamples = !p.demand.Steady() || now.Sub(p.lastSamples) >= p.sampleInterval()
	if request.withSamples {
		p.lastSamples = now
	}
	if p.status != nil {
		request.status = p.status
		if !p.sendTable {
			request.status = p.status.withoutTable()
		}
		request.status.Age = now.Sub(p.publishedAt)
	}
	return request
}

// treeFanOut returns the number of members that forward messages of the planner.
func (p *Planner) treeFanOut() int {
	if p.fanOut > 0 {
		return p.fanOut
	}
	return treeFanOut
}

// sampleInterval returns the least time between two surveys with samples while the
// demand is steady, so that the samples take no more than sampleBytesPerSecond.
func (p *Planner) sampleInterval() time.Duration {
	return time.Duration(p.sampleBytes) * time.Second / sampleBytesPerSecond
}

// publish publishes the status of a survey, here and with the next survey.
func (p *Planner) publish(survey *Survey) {
	status := NewStatusMessage(&Status{
		Group:   p.Name,
		Ranks:   survey.rankStatuses(),
		Entries: survey.entries,
		Uses:    survey.uses,
		Broken:  len(survey.Reports) > 0 && !survey.sameFormation(),
	})
	p.sendTable = survey.lacksTable || p.status == nil || p.status.Table != status.Table
	p.status = status
	p.publishedAt = time.Now()
	p.Publish(status)
}

// interval returns the time between two surveys.
func (p *Planner) interval() time.Duration {
	if p.demand.Steady() {
		return surveyInterval
	}
	return shiftSurveyInterval
}

// grace returns how long a survey waits for the last rank after all others have
// answered; zero means no limit but the survey's own. While a switch may be
// open, the group may be held, and the rank that does not answer is probably
// that of the planner that held it.
func (p *Planner) grace() time.Duration {
	if p.settled {
		return 0
	}
	return lastRankGrace
}

// handleSurvey takes the next step that a survey calls for: announce the
// fencing token, end an open switch, read the map from the ranks, or improve
// the map. The first two need no configuration, since the group may be held meanwhile.
func (p *Planner) handleSurvey(ctx context.Context, survey *Survey) error {
	config := p.GroupConfig()
	if config != nil {
		p.updateDemand(survey, config)
	}
	s := newSwitcher(survey, p.Self, p.Name, p.Fence, p.Log)
	s.passTime = p.passTime
	s.roundTime = p.rounds.expected()
	s.fanOut = p.treeFanOut()
	if len(survey.Reports) == 0 || !survey.sameFormation() {
		return nil
	}
	if p.announcedFormation != s.formation {
		p.announcedFormation = s.formation
		p.announced = make(map[foxtailstack.Rank]bool, len(survey.Reports))
	}
	p.settled = len(p.announced) > 0 && !survey.switchOpen()
	unaware := p.unawareMembers(survey)
	if len(unaware) > 0 {
		return p.announceFence(ctx, s, unaware)
	}
	if version, ok := survey.mapOfSilentProposer(); ok {
		return s.settleWithoutProposer(ctx, survey, version)
	}
	if !survey.Complete() {
		return nil
	}
	if config != nil {
		p.trackFormation(survey, config)
	}
	if survey.switchOpen() {
		return s.settleSwitch(ctx, survey)
	}
	if config == nil {
		return nil
	}
	common, ok := survey.commonMap()
	if !ok {
		return nil // the ranks answered at different times during a switch
	}
	if common != p.version {
		return p.fetchMap(ctx, survey, common)
	}
	return p.improveMap(ctx, survey, s, config)
}

// updateDemand adds the samples of a survey to the demand estimate. If there is
// an estimate, it ignores those of a new formation until trackFormation has
// adopted it: the first requests of a formation are few and not representative,
// and the estimate from before serves better for its first map.
func (p *Planner) updateDemand(survey *Survey, config *route.Group) {
	hadEstimate := p.demand.hasLength(config.LayerSets, config.Experts)
	if hadEstimate && p.formation != 0 && p.formation != survey.formation() {
		return
	}
	if len(survey.Samples) > 0 {
		p.sampleBytes = 0
	}
	for _, sample := range survey.Samples {
		p.sampleBytes += len(sample.Levels)
		p.demand.Add(sample)
	}
	wasSteady := p.demand.Steady()
	distance := p.demand.EndWindow(time.Now(), config.LayerSets)
	if wasSteady && !p.demand.Steady() {
		shiftsTotal.Inc()
		p.Log.Info("demand shifted", zap.Float64("distance", distance))
	}
}

// unawareMembers returns the members that answered a survey and to which the planner's
// fencing token has not been announced in their formation.
func (p *Planner) unawareMembers(survey *Survey) map[foxtailstack.Rank]Member {
	unaware := make(map[foxtailstack.Rank]Member)
	for rank, member := range survey.Members {
		if !p.announced[rank] {
			unaware[rank] = member
		}
	}
	return unaware
}

// announceFence makes the planner's fencing token known to members, so that they refuse
// orders of former planners that arrive late. The next step follows from the next
// survey, which is due at once.
func (p *Planner) announceFence(ctx context.Context, s *switcher, members map[foxtailstack.Rank]Member) error {
	began := time.Now()
	err := s.announceFence(ctx, members)
	if err != nil {
		return err
	}
	p.rounds.add(time.Since(began))
	for rank := range members {
		p.announced[rank] = true
	}
	p.surveyNow = true
	return nil
}

// trackFormation updates highestMap, and resets the map and its version if the
// group has opened anew.
func (p *Planner) trackFormation(survey *Survey, config *route.Group) {
	p.highestMap = max(p.highestMap, survey.highestMap())
	if p.formation == survey.formation() {
		return
	}
	p.formation = survey.formation()
	p.layers = InitialMap(len(survey.Reports), config.Experts, config.LayerSets)
	p.version = 0
	p.highestMap = survey.highestMap()
}
