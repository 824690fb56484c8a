package group

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

const (
	// orderTimeout bounds one sending of an order.
	orderTimeout = 150 * time.Millisecond
	// orderPause is the time between two sendings of an order.
	orderPause = 30 * time.Millisecond
	// prepareTimeout bounds the time in which all ranks get a map ready.
	prepareTimeout = 3 * time.Second
	// plantTimeout bounds the time in which all ranks learn a fencing number.
	plantTimeout = time.Second
	// beatPause is the time between two beats while maps are prepared, which go to
	// the ranks below beatRanks.
	beatPause = 150 * time.Millisecond
	beatRanks = 8
	// holdTimeout bounds the time in which one rank is told to hold the group.
	holdTimeout = time.Second
	// leadTime is how far ahead a group is held, leadPasses the least number of
	// passes that this takes, and unknownLead their number while the time of a pass
	// is not known.
	leadTime    = 110 * time.Millisecond
	leadPasses  = 1
	unknownLead = 4
)

// Errors of a switch.
var (
	// ErrSuperseded means that the planner has been replaced.
	ErrSuperseded = errors.New("another planner has taken over")
	// ErrTimeout means that a rank did not carry out an order in time.
	ErrTimeout = errors.New("rank did not carry out the order in time")
	// ErrFormationChanged means that the group has opened anew.
	ErrFormationChanged = errors.New("group has opened anew")
)

// isFenced reports whether err tells of a newer planner.
func isFenced(err error) bool {
	return errors.Is(err, ErrFenced)
}

// switcher brings a group from one map to another.
type switcher struct {
	fence     foxtailstack.FencingToken
	formation Formation
	// self is the rank beside the planner.
	self foxtailstack.Rank
	// pass is the time of a pass; zero if it is not known.
	pass    time.Duration
	members map[foxtailstack.Rank]Member
	log     *zap.Logger
}

// newSwitcher returns the switcher of a complete survey.
func newSwitcher(
	survey *Survey,
	self foxtailstack.Rank,
	fence foxtailstack.FencingToken,
	log *zap.Logger,
) *switcher {
	return &switcher{
		fence:     fence,
		formation: survey.formation(),
		self:      self,
		members:   survey.Members,
		log:       log,
	}
}

// plant gives every rank an order without effect, to make the fencing number known.
func (s *switcher) plant(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, plantTimeout)
	defer cancel()
	return s.each(ctx, s.members, Order{Action: Release}, func(Report) bool { return true })
}

// prepare has every rank copy a map. It may be given up at any time.
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
	go s.beat(ctx)
	return s.each(ctx, s.spread(ctx, order), order, func(r Report) bool { return r.Prepared == version })
}

// beat keeps the sidecars that would take over first from doing so, until ctx ends.
func (s *switcher) beat(ctx context.Context) {
	for clock.Sleep(ctx, beatPause) == nil {
		for rank, member := range s.members {
			if rank < beatRanks {
				go member.Heartbeat(ctx)
			}
		}
	}
}

// change switches a prepared group at a pass that lies ahead and returns that
// pass. Once the group may be held it does not give up before all ranks are
// armed, unless the group opens anew or another planner takes over.
//
// The rank that holds the group is not the one beside the planner, and it gets
// its orders straight from the planner: should the planner's machine stand still,
// the others can still release the group.
func (s *switcher) change(ctx context.Context, version foxtailstack.Epoch) (foxtailstack.Step, error) {
	holder := s.holder()
	step, err := s.hold(ctx, holder)
	if err != nil {
		return 0, err
	}
	err = s.armAll(ctx, version, step)
	if err != nil {
		return step, err
	}
	return step, s.release(ctx, holder, step)
}

// lead returns how many passes ahead of the newest a group is held.
func (s *switcher) lead() foxtailstack.Step {
	if s.pass <= 0 {
		return unknownLead
	}
	return leadPasses + foxtailstack.Step(leadTime/s.pass)
}

// holder returns the rank that holds the group during a switch.
func (s *switcher) holder() foxtailstack.Rank {
	others := s.others(s.self)
	if len(others) == 0 {
		return s.self
	}
	return others[0]
}

// hold has a rank hold the group before a pass that lies ahead. If that has begun
// before the order comes, it has the group held before a later one.
func (s *switcher) hold(ctx context.Context, holder foxtailstack.Rank) (foxtailstack.Step, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	member := s.members[holder]
	report, err := s.report(ctx, member)
	if err != nil {
		return 0, err
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
		if clock.Sleep(ctx, orderPause) != nil {
			return 0, fmt.Errorf("hold before pass %d: %w", step, ErrTimeout)
		}
	}
}

// maker returns the rank beside the planner that made a map. Maps are numbered
// so that this can be told from the number.
func maker(version foxtailstack.Epoch, size int) foxtailstack.Rank {
	return foxtailstack.Rank(uint64(version) % uint64(size))
}

// nextMade returns the lowest number above another for a map made beside a rank.
func nextMade(above foxtailstack.Epoch, self foxtailstack.Rank, size int) foxtailstack.Epoch {
	next := above + 1
	for maker(next, size) != self {
		next++
	}
	return next
}

// armAll arms every rank for a map at a pass, its maker's last: that rank is armed
// only if all others are, and only by the sidecars of other ranks. So others can
// tell whether it is armed while the maker's machine stands still. It goes on until
// that is done.
func (s *switcher) armAll(ctx context.Context, version foxtailstack.Epoch, step foxtailstack.Step) error {
	order := Order{
		Action: Arm,
		Map:    version,
		Step:   step,
	}
	armed := func(r Report) bool {
		return r.Armed && r.ArmedMap == version && r.ArmedStep == step || r.Map == version
	}
	last := maker(version, len(s.members))
	err := s.each(ctx, s.allBut(last), order, armed)
	if err != nil {
		return err
	}
	return s.vouch(ctx, order, last, armed)
}

// disarmAll undoes armAll at every rank that answered.
func (s *switcher) disarmAll(ctx context.Context, version foxtailstack.Epoch) error {
	order := Order{
		Action: Disarm,
		Map:    version,
	}
	return s.each(ctx, s.members, order, func(r Report) bool { return !r.Armed })
}

// release lets a held group begin its pass.
func (s *switcher) release(ctx context.Context, holder foxtailstack.Rank, step foxtailstack.Step) error {
	order := Order{
		Action: Release,
		Step:   step,
	}
	member := s.members[holder]
	return s.one(ctx, member.Direct(), member, order, func(r Report) bool { return !r.Held || r.HeldStep != step })
}

// others returns all ranks but one, in order.
func (s *switcher) others(one foxtailstack.Rank) []foxtailstack.Rank {
	return slices.Sorted(maps.Keys(s.allBut(one)))
}

// allBut returns all ranks but one.
func (s *switcher) allBut(one foxtailstack.Rank) map[foxtailstack.Rank]Member {
	others := maps.Clone(s.members)
	delete(others, one)
	return others
}

// each gives an order to ranks at once until each has carried it out.
func (s *switcher) each(
	ctx context.Context,
	members map[foxtailstack.Rank]Member,
	order Order,
	carried func(Report) bool,
) error {
	errs := make([]error, 0, len(members))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, member := range members {
		wg.Go(func() {
			err := s.one(ctx, member, member, order, carried)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// one gives an order to a rank by one way until its report by another shows that
// it was carried out. An answer alone does not show that, since it may be to an
// order that was begun but is not done; a report alone does not show that the rank
// knows the fencing number.
func (s *switcher) one(ctx context.Context, to, from Rank, order Order, carried func(Report) bool) error {
	sent := time.Time{}
	answered, accepted := false, false
	for {
		if !accepted || time.Since(sent) > orderTimeout {
			sent = time.Now()
			err := s.send(ctx, to, order)
			if isFenced(err) {
				return ErrSuperseded
			}
			accepted = err == nil
			answered = answered || accepted || errors.Is(err, ErrStateMismatch)
		}
		report, err := s.report(ctx, from)
		if errors.Is(err, ErrFormationChanged) {
			return err
		}
		if err == nil && answered && carried(report) {
			return nil
		}
		if clock.Sleep(ctx, orderPause) != nil {
			return fmt.Errorf("%s %d at pass %d: %w", order.Action, order.Map, order.Step, ErrTimeout)
		}
	}
}

// send sends an order once.
func (s *switcher) send(ctx context.Context, member Rank, order Order) error {
	timeout := orderTimeout
	if order.Action == Prepare {
		timeout += prepareWait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	order.Fence = s.fence
	order.Formation = s.formation
	err := member.Order(ctx, order)
	if err != nil {
		s.log.Debug("order not carried out", zap.String("action", string(order.Action)), zap.Error(err))
	}
	return err
}

// report returns the report of a rank in this formation.
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

// settle ends a switch that a planner has left behind.
func (s *switcher) settle(ctx context.Context, survey *Survey) error {
	version, step, armed := survey.armed()
	holder, held, isHeld := survey.holder()
	if !isHeld {
		return nil // all ranks were armed before the release; the pass is to come
	}
	settledTotal.Inc()
	s.log.Info("switch left open is ended",
		zap.Uint64("pass", uint64(held)), zap.Bool("armed", armed), zap.Uint64("map", uint64(version)))
	if !armed {
		step = held
		version, armed = survey.commonPrepared()
	}
	if armed && step == held {
		err := s.armAll(ctx, version, step)
		if err != nil {
			return err
		}
	}
	return s.release(ctx, holder, held)
}

// abandon ends a switch whose maker left it behind, and whose rank does not
// answer: it is undone if that rank is surely not armed, and goes on if it surely
// is. Otherwise the group has to wait for the rank.
func (s *switcher) abandon(ctx context.Context, survey *Survey, version foxtailstack.Epoch) error {
	holder, held, isHeld := survey.holder()
	if !isHeld {
		return nil
	}
	undo := survey.makerUnarmed(version)
	if !undo && !survey.makerArmed(version) {
		return nil
	}
	settledTotal.Inc()
	s.log.Info("switch left open is ended without its maker",
		zap.Uint64("pass", uint64(held)), zap.Uint64("map", uint64(version)), zap.Bool("undone", undo))
	if undo {
		err := s.disarmAll(ctx, version)
		if err != nil {
			return err
		}
	}
	return s.release(ctx, holder, held)
}

// isLost reports whether err tells that the planner has been replaced.
func isLost(err error) bool {
	return errors.Is(err, ErrSuperseded) || isFenced(err)
}
