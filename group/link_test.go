package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// link is a rank as one planner reaches it. It implements Member.
type link struct {
	rank *worldRank
	// own tells that the rank is beside the planner, where nothing is cut.
	own     bool
	planner *worldPlanner
	fence   foxtailstack.FencingToken
}

// worldPlanner is one planner of a world, which can stand still.
type worldPlanner struct {
	mu     sync.Mutex
	frozen time.Time
}

// freeze lets the planner stand still for a time.
func (p *worldPlanner) freeze(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = time.Now().Add(d)
}

// wait returns once the planner is awake.
func (p *worldPlanner) wait() {
	for {
		p.mu.Lock()
		left := time.Until(p.frozen)
		p.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// reach waits for the way to the rank. It reports whether there is one: a machine
// that stands still does not answer until the caller gives up.
func (l *link) reach(ctx context.Context) bool {
	l.planner.wait()
	if ctx.Err() != nil {
		return false
	}
	l.rank.world.mu.Lock()
	cut := !l.own && l.rank.cut
	l.rank.world.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return !cut
}

func (l *link) Address() foxtailstack.Address {
	return l.rank.address()
}

func (l *link) Heartbeat(context.Context) {}

func (l *link) Direct() Rank {
	return l
}

func (l *link) Report(ctx context.Context) (Report, error) {
	if !l.reach(ctx) {
		return Report{}, errUnreachable
	}
	l.rank.world.mu.Lock()
	defer l.rank.world.mu.Unlock()
	return l.rank.look(), nil
}

func (l *link) Counts(ctx context.Context) (Counts, error) {
	if !l.reach(ctx) {
		return Counts{}, errUnreachable
	}
	l.rank.world.mu.Lock()
	defer l.rank.world.mu.Unlock()
	return Counts{
		Formation: l.rank.world.formed,
		Chosen:    slices.Clone(l.rank.demand),
	}, nil
}

func (l *link) Observe(ctx context.Context, _ bool) (Observation, error) {
	report, err := l.Report(ctx)
	if err != nil {
		return Observation{}, err
	}
	counts, err := l.Counts(ctx)
	l.rank.world.mu.Lock()
	defer l.rank.world.mu.Unlock()
	answer := Observation{
		Report:    report,
		Sample:    newSample(l.rank.counts, counts),
		ArmRecord: l.rank.witness,
	}
	l.rank.heard = max(l.rank.heard, l.fence)
	l.rank.counts = counts
	return answer, err
}

// Delegate has the sidecar of this rank order another rank to arm.
func (l *link) Delegate(ctx context.Context, order Order, rank foxtailstack.Address) error {
	if !l.reach(ctx) {
		return errUnreachable
	}
	w := l.rank.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.Fence < l.rank.heard {
		return ErrFenced
	}
	target := w.at(rank)
	l.rank.witness = l.rank.witness.ordered(order)
	if target.cut && target != l.rank {
		time.AfterFunc(cutTime, func() { // the order waits on the way until the machine is back
			w.mu.Lock()
			defer w.mu.Unlock()
			_ = target.carryOut(order) // nobody hears of it
		})
		return errLostAnswer
	}
	err := w.deliver(target, order)
	if err == nil {
		l.rank.witness.Armed = true
	}
	return err
}

func (l *link) Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error) {
	report, err := l.Report(ctx)
	if err != nil {
		return 0, nil, err
	}
	initial := InitialMap(len(l.rank.world.ranks), worldShape.Experts, worldShape.LayerSets)
	experts := make([][]foxtailstack.Expert, worldShape.LayerSets)
	for s := range experts {
		experts[s] = initial[s][l.rank.index]
	}
	return report.Map, experts, nil
}

func (l *link) Order(ctx context.Context, order Order) error {
	if !l.reach(ctx) {
		return errLostAnswer
	}
	w := l.rank.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.Fence < l.rank.heard {
		return ErrFenced
	}
	if order.Action == Prepare {
		l.rank.witness = l.rank.witness.prepared(order)
	}
	return w.deliver(l.rank, order)
}

// deliver lets an order meet its fate on the way to a rank. The caller holds mu.
func (w *world) deliver(rank *worldRank, order Order) error {
	switch w.fate(rank.index, order) {
	case lostBefore:
		return errLostAnswer
	case lostAnswer:
		_ = rank.carryOut(order) // nobody hears of it
		return errLostAnswer
	case late:
		time.AfterFunc(w.lateBy(), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			_ = rank.carryOut(order) // nobody hears of it
		})
		return errLostAnswer
	default:
		return rank.carryOut(order)
	}
}

// at returns the rank at an address. The caller holds mu.
func (w *world) at(address foxtailstack.Address) *worldRank {
	for _, r := range w.ranks {
		if r.address() == address {
			return r
		}
	}
	return nil
}

// address returns the address of the rank.
func (r *worldRank) address() foxtailstack.Address {
	return foxtailstack.Address("10.0.0." + string(rune('a'+int(r.index))) + ":1")
}

// start runs a planner beside a rank until ctx ends.
func (w *world) start(
	ctx context.Context,
	self foxtailstack.Rank,
	fence foxtailstack.FencingToken,
) *worldPlanner {
	w.mu.Lock()
	w.note("planner %d beside rank %d", fence, self)
	w.mu.Unlock()
	state := &worldPlanner{}
	var members []Member
	for _, r := range w.ranks {
		members = append(members, &link{
			rank:    r,
			own:     r.index == self,
			planner: state,
			fence:   fence,
		})
	}
	planner := &Planner{
		Name:        "g",
		Fence:       fence,
		Self:        self,
		Members:     func() []Member { return members },
		Shape:       func() *route.Group { return worldShape },
		StoreDemand: func([]byte) {},
		Publish:     func(*Status) {},
		Log:         zap.NewNop(),
	}
	go func() { _ = planner.Run(ctx) }() // it ends with ctx or with a newer planner
	return state
}
