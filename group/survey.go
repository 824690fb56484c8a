package group

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// surveyTimeout bounds the wait for the observation of one rank.
	surveyTimeout = 300 * time.Millisecond
	// lastRankGrace is how much longer than all others the last rank may take,
	// while the group may be held for a planner that has failed.
	lastRankGrace = 80 * time.Millisecond
	// sampledRanks is the number of ranks above which not all are asked for samples.
	// The branches with samples are the same in each survey of the same tree.
	sampledRanks = 24
)

// Survey holds the observations of all ranks that answered, taken at nearly one
// time.
type Survey struct {
	// Samples holds the sum of the samples of each branch.
	Samples []Sample
	// Reports, ArmRecords and Members are by rank.
	Reports    map[foxtailstack.Rank]Report
	ArmRecords map[foxtailstack.Rank]ArmRecord
	Members    map[foxtailstack.Rank]Member
	// Groups holds the group that each answering member reported, by its
	// address.
	Groups map[foxtailstack.Address]Name
	// Fenced is set if a member has seen a newer planner.
	Fenced bool
	// lacksTable is set if a member does not know the table of ranks of the status that
	// was passed on.
	lacksTable bool
	// entries is the number of entries that ask for the status.
	entries int
	// uses is their use by urgency.
	uses []UrgencyUse
}

// Member is a rank of the group as a planner reaches it.
type Member interface {
	Rank
	// Address returns the address of the rank.
	Address() foxtailstack.Address
	// Heartbeat tells the rank's sidecar that the planner is executing a
	// switch, so that the sidecar does not take over.
	Heartbeat(ctx context.Context)
	// Direct returns the rank itself, without its sidecar.
	Direct() Rank
	// Observe returns the report of the rank, the arm record of its sidecar
	// and, if withSample is set, a sample of the choices of the rank's requests
	// since the last sample.
	Observe(ctx context.Context, withSample bool) (Observation, error)
}

// surveyRequest is what a planner asks the members of a group for.
type surveyRequest struct {
	name Name
	tree []branch
	// withSamples asks for samples.
	withSamples bool
	// status is passed on to the members, if it is set.
	status *StatusMessage
	// grace, if it is not zero, is how long to wait for the last member after all others
	// have answered.
	grace time.Duration
}

// surveyor takes one survey.
type surveyor struct {
	surveyRequest
	cancel context.CancelFunc
	mu     sync.Mutex
	// pending is the number of members that have not answered.
	pending int
	survey  Survey
}

// takeSurvey observes all members at once and keeps the observations of those
// that belong to the named group.
func takeSurvey(ctx context.Context, request surveyRequest) Survey {
	n := 0
	for _, branch := range request.tree {
		n += len(branch.members())
	}
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	s := &surveyor{
		surveyRequest: request,
		cancel:        cancel,
		pending:       n,
		survey: Survey{
			Reports:    make(map[foxtailstack.Rank]Report, n),
			ArmRecords: make(map[foxtailstack.Rank]ArmRecord, n),
			Members:    make(map[foxtailstack.Rank]Member, n),
			Groups:     make(map[foxtailstack.Address]Name, n),
		},
	}
	stride := (n + sampledRanks - 1) / sampledRanks
	var wg sync.WaitGroup
	for i, branch := range request.tree {
		wg.Go(func() { s.observeBranch(ctx, branch, request.withSamples && i%stride == 0) })
	}
	wg.Wait()
	return s.survey
}

// observeBranch observes the members of a branch through its head, and then those that
// are missing from the answer.
func (s *surveyor) observeBranch(ctx context.Context, branch branch, withSample bool) {
	missing := branch.members()
	head, ok := branch.head.(Forwarder)
	if ok {
		result, err := head.Gather(ctx, branch.rest, withSample, s.status)
		missing = s.addGathered(missing, result, err)
		directObservationsTotal.Add(len(missing))
	}
	var wg sync.WaitGroup
	for _, member := range missing {
		wg.Go(func() {
			observation, err := member.Observe(ctx, withSample)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.survey.add(s.name, member, observation, err)
			s.countAnswers(1)
		})
	}
	wg.Wait()
}

// addGathered adds the result of observing a branch through its head, and returns the
// members that are missing from it.
func (s *surveyor) addGathered(members []Member, result Gathered, err error) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.survey.Fenced = s.survey.Fenced || result.Fenced || isFenced(err)
	s.survey.lacksTable = s.survey.lacksTable || result.LacksTable
	s.survey.entries += result.Entries
	s.survey.uses = sumUses(s.survey.uses, result.Uses)
	var missing []Member
	for _, member := range members {
		name, isOther := result.Others[member]
		if isOther {
			s.survey.Groups[member.Address()] = name
			continue
		}
		observation, ok := result.Observations[member]
		if !ok {
			missing = append(missing, member)
			continue
		}
		s.survey.add(s.name, member, observation, nil)
	}
	if result.Sample.Levels != nil {
		s.survey.Samples = append(s.survey.Samples, result.Sample)
	}
	s.countAnswers(len(members) - len(missing))
	return missing
}

// countAnswers counts members that are not waited for any longer. The caller holds mu.
func (s *surveyor) countAnswers(n int) {
	s.pending -= n
	if s.pending == 1 && s.grace > 0 {
		time.AfterFunc(s.grace, s.cancel)
	}
}

// add adds the result of observing one member.
func (s *Survey) add(name Name, member Member, answer Observation, err error) {
	if isFenced(err) {
		s.Fenced = true
	}
	if other, ok := otherGroup(err); ok {
		s.Groups[member.Address()] = other
	}
	if err != nil {
		return
	}
	s.entries += answer.Entries
	s.uses = sumUses(s.uses, answer.Uses)
	s.Groups[member.Address()] = answer.Report.Group
	if answer.Report.Group != name {
		return
	}
	rank := answer.Report.Rank
	s.Reports[rank] = answer.Report
	s.Members[rank] = member
	s.ArmRecords[rank] = answer.ArmRecord
	if answer.Sample.Levels != nil {
		s.Samples = append(s.Samples, answer.Sample)
	}
}

// Complete reports whether every rank of one open formation has answered.
func (s *Survey) Complete() bool {
	size, ok := s.size()
	return ok && len(s.Reports) == size
}

// sameFormation reports whether the ranks that answered belong to one open
// formation.
func (s *Survey) sameFormation() bool {
	_, ok := s.size()
	return ok
}

// soleMissingRank returns the rank that has not answered, if it is the only
// one.
func (s *Survey) soleMissingRank() (foxtailstack.Rank, bool) {
	size, ok := s.size()
	if !ok || len(s.Reports) != size-1 {
		return 0, false
	}
	for rank := range size {
		_, answered := s.Reports[foxtailstack.Rank(rank)]
		if !answered {
			return foxtailstack.Rank(rank), true
		}
	}
	return 0, false
}

// mapOfSilentProposer returns the version of the newer map that all ranks that
// answered have prepared, to which the group may be switching, if the rank
// beside its proposer is the only one that has not answered. It returns false if
// a rank is armed for another map.
func (s *Survey) mapOfSilentProposer() (foxtailstack.Epoch, bool) {
	missing, ok := s.soleMissingRank()
	if !ok {
		return 0, false
	}
	version, prepared := s.commonPrepared()
	armed, _, isArmed := s.armed()
	if !prepared || isArmed && armed != version {
		return 0, false
	}
	return version, proposerRank(version, len(s.Reports)+1) == missing
}

// proposerRankUnarmed reports whether the silent rank beside the proposer of a
// map is certainly not armed. That rank is armed last and by the sidecar of
// another rank, so it is not armed if some other rank is not, or if the arm
// records of all other sidecars cover the map and none has ordered it to arm. A
// sidecar whose record does not cover the map may have restarted after such an
// order.
func (s *Survey) proposerRankUnarmed(version foxtailstack.Epoch) bool {
	if !s.allArmed() {
		return true
	}
	for rank := range s.Reports {
		record := s.ArmRecords[rank]
		if !record.covers(s.formation(), version) || record.Ordered {
			return false
		}
	}
	return true
}

// proposerRankArmed reports whether all ranks that answered are armed and the
// silent rank beside the proposer of a map certainly is too, because the arm
// record of a sidecar shows that the rank has carried out the order.
func (s *Survey) proposerRankArmed(version foxtailstack.Epoch) bool {
	if !s.allArmed() {
		return false
	}
	for rank := range s.Reports {
		record := s.ArmRecords[rank]
		if record.covers(s.formation(), version) && record.Armed {
			return true
		}
	}
	return false
}

// size returns the number of ranks of the group, if all that answered belong to
// one open formation.
func (s *Survey) size() (int, bool) {
	var first *Report
	for _, r := range s.Reports {
		if first == nil {
			first = &r
		}
		if !r.Open || r.Formation != first.Formation || r.Size != first.Size {
			return 0, false
		}
	}
	if first == nil {
		return 0, false
	}
	return first.Size, true
}

// allArmed reports whether every rank that answered is armed.
func (s *Survey) allArmed() bool {
	for _, r := range s.Reports {
		if !r.Armed {
			return false
		}
	}
	return true
}

// formation returns the formation of one rank that answered, or 0 if there is
// none. All ranks are of that formation only if sameFormation is true.
func (s *Survey) formation() Formation {
	for _, r := range s.Reports {
		return r.Formation
	}
	return 0
}

// step returns the newest pass that any rank has begun.
func (s *Survey) step() foxtailstack.Step {
	var newest foxtailstack.Step
	for _, r := range s.Reports {
		newest = max(newest, r.Step)
	}
	return newest
}

// highestMap returns the highest version of a map that any rank reports as in
// use, prepared or armed.
func (s *Survey) highestMap() foxtailstack.Epoch {
	var newest foxtailstack.Epoch
	for _, r := range s.Reports {
		newest = max(newest, r.Map, r.Prepared, r.ArmedMap)
	}
	return newest
}

// commonMap returns the version of the map in use, if all ranks use the same.
func (s *Survey) commonMap() (foxtailstack.Epoch, bool) {
	var common foxtailstack.Epoch
	first := true
	for _, r := range s.Reports {
		if !first && r.Map != common {
			return 0, false
		}
		common = r.Map
		first = false
	}
	return common, !first
}

// commonPrepared returns the version of the map that every rank has prepared,
// if all have prepared the same one and it is newer than the one in use.
func (s *Survey) commonPrepared() (foxtailstack.Epoch, bool) {
	var common foxtailstack.Epoch
	first := true
	for _, r := range s.Reports {
		if r.Prepared <= r.Map || !first && r.Prepared != common {
			return 0, false
		}
		common = r.Prepared
		first = false
	}
	return common, !first
}

// switchOpen reports whether some rank is armed or holds the group, so that a
// switch has begun and not ended.
func (s *Survey) switchOpen() bool {
	for _, r := range s.Reports {
		if r.Armed || r.Held {
			return true
		}
	}
	return false
}

// holdingRank returns the rank that holds the group and the held pass, if any.
func (s *Survey) holdingRank() (foxtailstack.Rank, foxtailstack.Step, bool) {
	for rank, r := range s.Reports {
		if r.Held {
			return rank, r.HeldStep, true
		}
	}
	return 0, 0, false
}

// armed returns the version of the map and the pass for which some rank is
// armed, chosen at random if the ranks differ. It returns false if no rank is
// armed.
func (s *Survey) armed() (foxtailstack.Epoch, foxtailstack.Step, bool) {
	for _, r := range s.Reports {
		if r.Armed {
			return r.ArmedMap, r.ArmedStep, true
		}
	}
	return 0, 0, false
}

// rankStatuses returns the status, for entries, of the ranks that answered.
func (s *Survey) rankStatuses() []RankStatus {
	ranks := make([]RankStatus, 0, len(s.Reports))
	for rank, r := range s.Reports {
		ranks = append(ranks, RankStatus{
			Address:  s.Members[rank].Address(),
			Running:  r.Running,
			Waiting:  r.Waiting,
			Slowdown: r.Slowdown,
			Limit:    r.Limit,
		})
	}
	return ranks
}

// meanRunning returns the mean number of requests that run at a rank.
func (s *Survey) meanRunning() float64 {
	if len(s.Reports) == 0 {
		return 0
	}
	total := 0
	for _, r := range s.Reports {
		total += r.Running
	}
	return float64(total) / float64(len(s.Reports))
}

// slowdowns returns the slowdown of each rank of a complete survey, each raised
// to 1 if it is lower.
func (s *Survey) slowdowns() []float64 {
	slowdowns := make([]float64, len(s.Reports))
	for rank, r := range s.Reports {
		slowdowns[rank] = max(1, r.Slowdown)
	}
	return slowdowns
}
