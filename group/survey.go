package group

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// surveyTimeout bounds the report of one rank.
	surveyTimeout = 300 * time.Millisecond
	// lastGrace is how much longer the last rank may take while the group may be
	// held for a planner that is gone.
	lastGrace = 80 * time.Millisecond
	// maxSamples is the number of ranks that a sample is taken of. They are the
	// same in each survey.
	maxSamples = 24
)

// Survey is what all ranks that answered said at nearly one time.
type Survey struct {
	// Reports, Samples and Witnesses are by rank.
	Reports    map[foxtailstack.Rank]Report
	Samples    map[foxtailstack.Rank]Sample
	ArmRecords map[foxtailstack.Rank]ArmRecord
	Members    map[foxtailstack.Rank]Member
	// Groups are those that all who answered said they belong to.
	Groups map[foxtailstack.Address]Name
	// Fenced tells that a member has seen a newer planner.
	Fenced bool
}

// Member is a rank of the group that a planner reaches.
type Member interface {
	Rank
	// Address returns the address of the rank.
	Address() foxtailstack.Address
	// Heartbeat tells the rank's sidecar that the planner is at work on a switch.
	Heartbeat(ctx context.Context)
	// Direct returns the rank itself, without its sidecar.
	Direct() Rank
	// Observe returns the report of the rank, what its sidecar knows of others and, if
	// asked for, a sample of what the rank's requests chose since the last one.
	Observe(ctx context.Context, withSample bool) (Observation, error)
}

// look asks all members for their state and keeps what belongs to one group. If
// grace is not zero, the last member is not waited for longer than that.
func look(ctx context.Context, name Name, members []Member, grace time.Duration) Survey {
	survey := Survey{
		Reports:    make(map[foxtailstack.Rank]Report, len(members)),
		Samples:    make(map[foxtailstack.Rank]Sample, len(members)),
		ArmRecords: make(map[foxtailstack.Rank]ArmRecord, len(members)),
		Members:    make(map[foxtailstack.Rank]Member, len(members)),
		Groups:     make(map[foxtailstack.Address]Name, len(members)),
	}
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	asked := len(members)
	every := (len(members) + maxSamples - 1) / maxSamples
	for i, member := range members {
		wg.Go(func() {
			answer, err := member.Observe(ctx, i%every == 0)
			mu.Lock()
			defer mu.Unlock()
			survey.take(name, member, answer, err)
			asked--
			if asked == 1 && grace > 0 {
				time.AfterFunc(grace, cancel)
			}
		})
	}
	wg.Wait()
	return survey
}

// take adds the answer of one member.
func (s *Survey) take(name Name, member Member, answer Observation, err error) {
	if isFenced(err) {
		s.Fenced = true
	}
	if err != nil {
		return
	}
	s.Groups[member.Address()] = answer.Report.Group
	if answer.Report.Group != name {
		return
	}
	rank := answer.Report.Rank
	s.Reports[rank] = answer.Report
	s.Members[rank] = member
	s.ArmRecords[rank] = answer.ArmRecord
	if answer.Sample.Levels != nil {
		s.Samples[rank] = answer.Sample
	}
}

// Complete reports whether every rank of one open formation has answered.
func (s *Survey) Complete() bool {
	size, ok := s.size()
	return ok && len(s.Reports) == size
}

// together reports whether the ranks that answered belong to one open formation.
func (s *Survey) together() bool {
	_, ok := s.size()
	return ok
}

// missing returns the rank that has not answered, if it is the only one.
func (s *Survey) missing() (foxtailstack.Rank, bool) {
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

// silentMaker returns the map of an open switch whose maker's rank is the only one
// that has not answered.
func (s *Survey) silentMaker() (foxtailstack.Epoch, bool) {
	missing, ok := s.missing()
	if !ok {
		return 0, false
	}
	version, prepared := s.commonPrepared()
	armed, _, isArmed := s.armed()
	if !prepared || isArmed && armed != version {
		return 0, false
	}
	return version, maker(version, len(s.Reports)+1) == missing
}

// makerUnarmed reports whether the silent rank of a map's maker is surely not
// armed: it is armed last, by the sidecar of another rank, and either some other
// rank is not armed or no sidecar has given it the order.
func (s *Survey) makerUnarmed(version foxtailstack.Epoch) bool {
	if !s.allArmed() {
		return true
	}
	for rank := range s.Reports {
		witness := s.ArmRecords[rank]
		if !witness.knows(s.formation(), version) || witness.Ordered {
			return false
		}
	}
	return true
}

// makerArmed reports whether the silent rank of a map's maker is surely armed like
// all others.
func (s *Survey) makerArmed(version foxtailstack.Epoch) bool {
	if !s.allArmed() {
		return false
	}
	for rank := range s.Reports {
		witness := s.ArmRecords[rank]
		if witness.knows(s.formation(), version) && witness.Armed {
			return true
		}
	}
	return false
}

// size returns the number of ranks if those that answered belong to one open
// formation.
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

// formation returns the formation of a complete survey.
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

// newestMap returns the highest map that any rank has had, as far as told.
func (s *Survey) newestMap() foxtailstack.Epoch {
	var newest foxtailstack.Epoch
	for _, r := range s.Reports {
		newest = max(newest, r.Map, r.Prepared, r.ArmedMap)
	}
	return newest
}

// commonMap returns the map in use if all ranks use the same.
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

// commonPrepared returns the map that every rank has ready, if it is the same at
// all and newer than the one in use.
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

// unsettled reports whether a switch has been begun and not ended.
func (s *Survey) unsettled() bool {
	for _, r := range s.Reports {
		if r.Armed || r.Held {
			return true
		}
	}
	return false
}

// holder returns the rank that holds the group, if one does.
func (s *Survey) holder() (foxtailstack.Rank, foxtailstack.Step, bool) {
	for rank, r := range s.Reports {
		if r.Held {
			return rank, r.HeldStep, true
		}
	}
	return 0, 0, false
}

// armed returns the map and step that some rank is armed for.
func (s *Survey) armed() (foxtailstack.Epoch, foxtailstack.Step, bool) {
	for _, r := range s.Reports {
		if r.Armed {
			return r.ArmedMap, r.ArmedStep, true
		}
	}
	return 0, 0, false
}

// ranks returns what entries are told of the ranks that answered.
func (s *Survey) ranks() []RankStatus {
	ranks := make([]RankStatus, 0, len(s.Reports))
	for rank, r := range s.Reports {
		ranks = append(ranks, RankStatus{
			Address:  s.Members[rank].Address(),
			Running:  r.Running,
			Waiting:  r.Waiting,
			Slowdown: r.Slowdown,
		})
	}
	return ranks
}

// pace returns the pace of each rank of a complete survey, at least one.
func (s *Survey) pace() []float64 {
	pace := make([]float64, len(s.Reports))
	for rank, r := range s.Reports {
		pace[rank] = max(1, r.Slowdown)
	}
	return pace
}
