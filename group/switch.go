package group

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

const (
	// prepareTimeout bounds the time in which all ranks prepare a map.
	prepareTimeout = 3 * time.Second
	// announceTimeout bounds the time in which all ranks learn the fencing
	// token.
	announceTimeout = time.Second
	// heartbeatInterval is the time between two heartbeats while a map is
	// prepared. They go to the ranks with numbers below heartbeatRanks, whose
	// sidecars would take over first.
	heartbeatInterval = 150 * time.Millisecond
	heartbeatRanks    = 8
	// holdTimeout bounds the time to make one rank hold the group.
	holdTimeout = time.Second
	// minLeadTime and maxLeadTime bound the time between the newest pass and the held
	// one. holdTime is the part of it in which the group is made to hold, before ranks
	// are armed. minLeadPasses is added to the number of passes in the lead time, and
	// defaultLeadPasses is the lead while the time of a pass is not known.
	minLeadTime       = 110 * time.Millisecond
	maxLeadTime       = 700 * time.Millisecond
	holdTime          = 40 * time.Millisecond
	minLeadPasses     = 1
	defaultLeadPasses = 4
)

// Errors of a switch.
var (
	// ErrSuperseded means that another planner has taken over.
	ErrSuperseded = errors.New("another planner has taken over")
	// ErrTimeout means that a rank did not carry out an order in time, or that
	// the context ended before.
	ErrTimeout = errors.New("rank did not carry out the order in time")
	// ErrFormationChanged means that the group has opened anew.
	ErrFormationChanged = errors.New("group has opened anew")
)

// isFenced reports whether err means that a newer planner exists.
func isFenced(err error) bool {
	return errors.Is(err, ErrFenced)
}

// switcher switches a group from one map to another.
type switcher struct {
	// group is the group within which fence means something.
	group     Name
	fence     foxtailstack.FencingToken
	formation Formation
	// self is the rank beside the planner.
	self foxtailstack.Rank
	// passTime is the mean time of a pass; zero if it is not known.
	passTime time.Duration
	// roundTime is the time that an order to all ranks is expected to take; zero if it
	// is not known.
	roundTime time.Duration
	// fanOut is the number of members that forward orders of the planner.
	fanOut  int
	members map[foxtailstack.Rank]Member
	log     *zap.Logger
}

// newSwitcher returns a switcher for the ranks of a survey. It may be used only
// if the survey has ranks and they are of one formation.
func newSwitcher(
	survey *Survey,
	self foxtailstack.Rank,
	name Name,
	fence foxtailstack.FencingToken,
	log *zap.Logger,
) *switcher {
	return &switcher{
		group:     name,
		fence:     fence,
		formation: survey.formation(),
		self:      self,
		members:   survey.Members,
		log:       log,
	}
}

// announceFence makes the fencing token known to members and returns once all have
// answered. The order that carries the token is to release pass 0, which has no effect
// because no rank holds that pass.
func (s *switcher) announceFence(ctx context.Context, members map[foxtailstack.Rank]Member) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.orderAll(ctx, members, Order{Action: Release})
}

// prepare makes every rank copy the experts of a map. It can be abandoned at
// any time.
func (s *switcher) prepare(
	ctx context.Context,
	version foxtailstack.Epoch,
	layers []foxtailstack.ExpertLayer,
	patch *Patch,
) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	order := Order{
		Action: Prepare,
		Map:    version,
		Layers: layers,
		Patch:  patch,
	}
	go s.sendHeartbeats(ctx)
	return s.orderAll(ctx, s.members, order)
}

// sendHeartbeats keeps the sidecars that would take over first from doing so,
// until ctx ends.
func (s *switcher) sendHeartbeats(ctx context.Context) {
	for clock.Sleep(ctx, heartbeatInterval) == nil {
		for rank, member := range s.members {
			if rank < heartbeatRanks {
				go member.Heartbeat(ctx)
			}
		}
	}
}

// switchTo switches the group to a prepared map at a pass that lies ahead, and
// returns that pass. Once the rank reports that it holds the group, switchTo
// does not stop before all ranks are armed, unless ctx ends, the group opens
// anew or another planner takes over.
//
// The rank that holds the group is not the one beside the planner, so that
// other planners can still release the group if the planner's machine freezes.
// It gets its orders directly, not through its sidecar.
func (s *switcher) switchTo(ctx context.Context, version foxtailstack.Epoch) (foxtailstack.Step, switchTimes, error) {
	var times switchTimes
	began := time.Now()
	holder := s.chooseHoldingRank()
	step, err := s.hold(ctx, holder)
	times.hold = time.Since(began)
	if err != nil {
		return 0, times, err
	}
	began = time.Now()
	err = s.armAll(ctx, version, step)
	times.arm = time.Since(began)
	if err != nil {
		return step, times, err
	}
	began = time.Now()
	err = s.release(ctx, holder, step)
	times.release = time.Since(began)
	return step, times, err
}

// switchTimes holds the times that the parts of a switch took.
type switchTimes struct {
	hold, arm, release time.Duration
}

// leadTime returns the time between the newest pass and the held one. All ranks should be
// armed within it, so that no pass is delayed.
func (s *switcher) leadTime() time.Duration {
	return min(max(s.roundTime+holdTime, minLeadTime), maxLeadTime)
}

// lead returns by how many passes the held pass lies ahead of the newest one.
func (s *switcher) lead() foxtailstack.Step {
	if s.passTime <= 0 {
		return defaultLeadPasses
	}
	return minLeadPasses + foxtailstack.Step(s.leadTime()/s.passTime)
}

// chooseHoldingRank returns the rank that is to hold the group during a switch.
func (s *switcher) chooseHoldingRank() foxtailstack.Rank {
	others := s.otherRanks(s.self)
	if len(others) == 0 {
		return s.self
	}
	return others[0]
}

// hold makes a rank hold the group before a pass that lies ahead, and returns
// that pass. If the pass has begun before the order arrives, it tries again
// with a later one.
func (s *switcher) hold(ctx context.Context, holder foxtailstack.Rank) (foxtailstack.Step, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	member := s.members[holder]
	report, err := s.report(ctx, member)
	if err != nil {
		return 0, fmt.Errorf("read report of rank %d: %w", holder, err)
	}
	step := report.Step + s.lead()
	order := Order{
		Action: Hold,
		Step:   step,
	}
	for {
		err = s.send(ctx, member.Direct(), order)
		if isFenced(err) {
			return 0, ErrSuperseded
		}
		refused := errors.Is(err, ErrStateMismatch)
		report, err = s.report(ctx, member)
		if err == nil && report.Held && report.HeldStep == step {
			return step, nil
		}
		if refused && err == nil && !report.Held && report.Step >= step {
			step = report.Step + s.lead()
			order.Step = step
			continue
		}
		if refused {
			return 0, fmt.Errorf("hold before pass %d: %w", step, ErrStateMismatch)
		}
		if clock.Sleep(ctx, directRetryInterval) != nil {
			return 0, fmt.Errorf("hold before pass %d: %w", step, ErrTimeout)
		}
	}
}

// proposerRank returns the rank beside the proposer of a map. Versions are
// assigned so that they identify that rank: it is the version modulo the number
// of ranks.
func proposerRank(version foxtailstack.Epoch, size int) foxtailstack.Rank {
	return foxtailstack.Rank(uint64(version) % uint64(size))
}

// nextVersion returns the lowest version above another that identifies rank
// self as the rank beside the proposer. It returns false if the group has no such rank, as
// after it has formed anew with fewer ranks.
func nextVersion(above foxtailstack.Epoch, self foxtailstack.Rank, size int) (foxtailstack.Epoch, bool) {
	if int(self) >= size {
		return 0, false
	}
	next := above + 1
	for proposerRank(next, size) != self {
		next++
	}
	return next, true
}

// armAll arms every rank for a map at a pass. The rank beside the map's
// proposer comes last: it is armed only once all others have reported that they
// are armed, and only by the sidecars of other ranks. So other planners can find
// out whether it is armed while the proposer's machine does not answer. armAll
// tries until all ranks are armed; it stops early as orderUntilDone does. A rank
// that already uses the map counts as armed.
func (s *switcher) armAll(ctx context.Context, version foxtailstack.Epoch, step foxtailstack.Step) error {
	order := Order{
		Action: Arm,
		Map:    version,
		Step:   step,
	}
	lastRank := proposerRank(version, len(s.members))
	err := s.orderAll(ctx, s.membersExcept(lastRank), order)
	if err != nil {
		return err
	}
	return s.delegateArm(ctx, order, lastRank)
}

// disarmAll disarms every rank that answered the survey.
func (s *switcher) disarmAll(ctx context.Context, version foxtailstack.Epoch) error {
	order := Order{
		Action: Disarm,
		Map:    version,
	}
	return s.orderAll(ctx, s.members, order)
}

// release lets a held group begin the pass.
func (s *switcher) release(ctx context.Context, holder foxtailstack.Rank, step foxtailstack.Step) error {
	order := Order{
		Action: Release,
		Step:   step,
	}
	member := s.members[holder]
	return s.orderUntilDone(ctx, member.Direct(), member, order)
}

// otherRanks returns all ranks except one, in ascending order.
func (s *switcher) otherRanks(except foxtailstack.Rank) []foxtailstack.Rank {
	return slices.Sorted(maps.Keys(s.membersExcept(except)))
}

// membersExcept returns the members of all ranks except one.
func (s *switcher) membersExcept(except foxtailstack.Rank) map[foxtailstack.Rank]Member {
	others := maps.Clone(s.members)
	delete(others, except)
	return others
}

// report returns the report of a rank, or ErrFormationChanged if the rank is
// not in the switcher's formation.
func (s *switcher) report(ctx context.Context, member Rank) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := member.Report(ctx)
	if err != nil {
		return Report{}, err
	}
	if report.Formation != s.formation || !report.Open {
		return Report{}, ErrFormationChanged
	}
	return report, nil
}

// isSuperseded reports whether err means that another planner has taken over.
func isSuperseded(err error) bool {
	return errors.Is(err, ErrSuperseded) || isFenced(err)
}
