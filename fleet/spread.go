package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/qmuntal/stateless"
	"go.uber.org/zap"
)

const (
	// pollInterval is the time between two reads of the head.
	pollInterval = 250 * time.Millisecond
	// sparePollInterval is the mean time between two reads of the head by a
	// process that is no poller: 5,250 of them stay below 2,000 a second.
	sparePollInterval = 2700 * time.Millisecond
	// spareDelay is how long a process hears from no relay before it reads the
	// table; the next relay has been tried by then.
	spareDelay = 2 * time.Second
	// readTimeout bounds one look at the table.
	readTimeout = 2 * time.Second
	// startPause is the mean pause between two attempts to start.
	startPause = 500 * time.Millisecond
)

// Counters of this package.
var (
	pollsTotal     = metrics.NewCounter("foxtailstack_fleet_polls_total")
	fallbacksTotal = metrics.NewCounter("foxtailstack_fleet_fallbacks_total")
	lossesTotal    = metrics.NewCounter("foxtailstack_fleet_relay_losses_total")
)

// state is a state in the life of a Spreader.
type state string

// The states of a Spreader.
const (
	stateStarting   state = "starting"
	stateChoosing   state = "choosing"
	statePolling    state = "polling"
	stateFollowing  state = "following"
	stateFallenBack state = "fallenback"
)

// trigger moves a Spreader to another state.
type trigger string

// The triggers of a Spreader.
const (
	triggerReady     trigger = "ready"
	triggerPicked    trigger = "picked"
	triggerSpared    trigger = "spared"
	triggerReview    trigger = "review"
	triggerExhausted trigger = "exhausted"
)

// Spreader keeps the replica of one process up to date and passes changes on to
// the processes that follow it. The goroutine in Run owns its state; the
// streams read the replica.
type Spreader struct {
	Store   Store
	Replica *Replica
	// Self is this process as the list of instances names it.
	Self foxtailstack.Instance
	// List is the platform's list of instances. Without one, or while it is
	// empty, the process reads the table itself.
	List   foxtailstack.InstanceList
	Dialer Dialer
	// Log takes one line for each change of state; it may be nil.
	Log *zap.Logger

	ready  atomic.Bool
	plan   atomic.Pointer[plan]
	nudge  chan struct{}
	census census
	fresh  freshness
	// moved is when the process last changed its place in the tree, in
	// nanoseconds since 1970.
	moved atomic.Int64
	// followers is the number of processes that follow this one.
	followers atomic.Int64
	// heard is when a relay was last heard, in nanoseconds since 1970.
	heard atomic.Int64
	// peak is the highest number of processes counted since the list was read.
	// One that falls silent is missing until the list says that it is gone.
	peak atomic.Int64

	// Owned by the goroutine in Run.
	doubt   time.Duration
	doubted time.Time
	avoided map[foxtailstack.Address]avoidance
	spared  time.Time
}

// Ready reports whether the process has had a configuration from the table or
// from a peer since its start.
func (s *Spreader) Ready() bool {
	return s.ready.Load()
}

// Status returns how far a revision has spread.
func (s *Spreader) Status(revision foxtailstack.Revision) Status {
	counts := s.counts()
	known := max(s.planned().listed, int(s.peak.Load()))
	return statusOf(counts, revision, known)
}

// Run keeps the replica up to date until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	s.nudge = make(chan struct{}, 1)
	s.move()
	s.refresh(ctx)
	go s.watchList(ctx)
	go s.exchange(ctx)
	go s.readSpare(ctx)
	machine := newLife()
	for ctx.Err() == nil {
		current, _ := machine.MustState().(state)
		next := s.live(ctx, current)
		if ctx.Err() != nil {
			return
		}
		err := machine.FireCtx(ctx, next)
		if err != nil {
			s.Log.Error("configuration: no such transition", zap.Error(err))
			return
		}
		s.Log.Debug("configuration: next state", zap.Any("state", machine.MustState()), zap.String("trigger", string(next)))
	}
}

// newLife returns the states and transitions of a Spreader.
func newLife() *stateless.StateMachine {
	machine := stateless.NewStateMachine(stateStarting)
	machine.Configure(stateStarting).
		Permit(triggerReady, stateChoosing)
	machine.Configure(stateChoosing).
		Permit(triggerPicked, statePolling).
		Permit(triggerSpared, stateFollowing)
	machine.Configure(statePolling).
		Permit(triggerReview, stateChoosing)
	machine.Configure(stateFollowing).
		Permit(triggerReview, stateChoosing).
		Permit(triggerExhausted, stateFallenBack)
	machine.Configure(stateFallenBack).
		Permit(triggerReview, stateChoosing)
	return machine
}

// live does the work of a state until it has to change.
func (s *Spreader) live(ctx context.Context, current state) trigger {
	switch current {
	case stateStarting:
		s.start(ctx)
		return triggerReady
	case statePolling:
		s.poll(ctx)
		return triggerReview
	case stateFollowing:
		return s.followAny(ctx)
	case stateFallenBack:
		s.lookAgain()
		_ = clock.Sleep(ctx, jitter(startPause)) // the loop sees the end of ctx
		return triggerReview
	}
	if s.planned().poll {
		return triggerPicked
	}
	return triggerSpared
}

// move keeps the process uncounted until its former place has forgotten it.
func (s *Spreader) move() {
	s.moved.Store(time.Now().UnixNano())
}

// settled reports whether the process may be counted at its present place.
func (s *Spreader) settled() bool {
	return time.Since(time.Unix(0, s.moved.Load())) >= settleTime
}

// poll reads the table until the process is no longer a poller.
func (s *Spreader) poll(ctx context.Context) {
	s.move()
	defer s.move()
	for {
		p := s.planned()
		if !p.poll {
			return
		}
		if s.read(ctx) != nil {
			s.askRoots(p)
		}
		interval := pollInterval
		if p.unknown {
			interval = jitter(sparePollInterval)
		}
		if clock.Sleep(ctx, interval) != nil {
			return
		}
	}
}

// askRoots takes the configuration from another poller of the data centre once
// in a while, for this one may be alone in not reaching the table.
func (s *Spreader) askRoots(p *plan) {
	checked, _ := s.fresh.ages()
	if checked < checkedLimit || time.Now().Before(s.spared) {
		return
	}
	s.spared = time.Now().Add(jitter(sparePollInterval))
	for _, address := range p.sources {
		if s.fetch(address) == nil {
			return
		}
	}
}

// readSpare reads the table for a process that is no poller while it hears from
// no relay, within the budget of the process.
func (s *Spreader) readSpare(ctx context.Context) {
	var next time.Time
	for clock.Sleep(ctx, jitter(pollInterval)) == nil {
		silent := time.Since(time.Unix(0, s.heard.Load())) > spareDelay
		if s.planned().poll || !s.Ready() || !silent || time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(jitter(sparePollInterval))
		fallbacksTotal.Inc()
		_ = s.read(ctx) // the next read tries again
	}
}

// read brings the replica up to date from the table.
func (s *Spreader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	pollsTotal.Inc()
	began := time.Now()
	poller := Poller{
		Store:   s.Store,
		Replica: s.Replica,
	}
	err := poller.Poll(ctx)
	if errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
		s.fresh.fail()
		return err
	}
	if err != nil {
		s.Log.Error("configuration: resource does not decode", zap.Error(err))
	}
	s.fresh.set(time.Since(began), 0)
	return nil
}

// planned returns the plan in use.
func (s *Spreader) planned() *plan {
	p := s.plan.Load()
	if p == nil {
		return &plan{
			poll:     true,
			capacity: minCapacity,
		}
	}
	return p
}

// counts returns the revisions in force in the whole system.
func (s *Spreader) counts() []Count {
	counts := s.census.total(s.Replica.Snapshot().Revision)
	if s.planned().poll {
		counts = s.census.rootTotal(s.Replica.Snapshot().Revision, s.settled())
	}
	s.raisePeak(statusOf(counts, 0, 0).Total)
	return counts
}

// raisePeak records that so many processes are known.
func (s *Spreader) raisePeak(n int) {
	total := int64(n)
	for peak := s.peak.Load(); total > peak && !s.peak.CompareAndSwap(peak, total); {
		peak = s.peak.Load()
	}
}

// jitter returns a random time around d, within a quarter of it.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
