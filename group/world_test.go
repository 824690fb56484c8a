package group

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
)

const (
	// passTime is the time of a pass in a world.
	passTime = 50 * time.Millisecond
	// shiftPasses is the number of passes between two shifts of demand.
	shiftPasses = 40
	// cutTime is how long a machine stands still.
	cutTime = 3 * time.Second
	// copyTime is the time that a rank takes to prepare a map.
	copyTime = 150 * time.Millisecond
)

// errLostAnswer means that an order was sent and not answered.
var errLostAnswer = errors.New("no answer")

// fate is what becomes of one sending of an order.
type fate uint8

const (
	delivered fate = iota
	// lostBefore never reaches the rank.
	lostBefore
	// lostAnswer is carried out, but the answer does not come back.
	lostAnswer
	// late is carried out seconds later and not answered.
	late
	fates
)

// world is a group of ranks that begin passes together, and the orders on the
// way to them. Its methods may be called by any goroutine.
type world struct {
	mu    sync.Mutex
	ranks []*worldRank
	step  foxtailstack.Step
	// idle tells that the group makes no passes.
	idle bool
	// mixed describes the first pass that began with two maps.
	mixed string
	// fate decides what becomes of an order to a rank.
	fate func(rank foxtailstack.Rank, order Order) fate
	// lateBy returns how long a late order takes.
	lateBy func() time.Duration
	formed Formation
	maps   []foxtailstack.Epoch // of each pass
	// history is what happened, for the report of a failure.
	history []string
}

// note adds a line to the history. The caller holds mu.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%s pass %d: ", time.Now().Format("05.000"), w.step)
	w.history = append(w.history, line+fmt.Sprintf(format, args...))
}

// worldRank is one rank of a world.
type worldRank struct {
	world  *world
	index  foxtailstack.Rank
	report Report
	newest foxtailstack.Epoch
	fence  foxtailstack.FencingToken
	demand []float64
	counts Counts
	// witness is what the sidecar of the rank knows, heard the newest planner
	// that it has heard of.
	witness ArmRecord
	heard   foxtailstack.FencingToken
	// cut tells that the machine of the rank cannot be reached.
	cut bool
}

// newWorld returns a world of n ranks.
func newWorld(n int) *world {
	w := &world{
		formed: 1,
		fate:   func(foxtailstack.Rank, Order) fate { return delivered },
		lateBy: func() time.Duration { return 2*time.Second + rand.N(10*time.Second) },
	}
	for i := range n {
		w.ranks = append(w.ranks, &worldRank{
			world:  w,
			index:  foxtailstack.Rank(i),
			demand: make([]float64, worldShape.LayerSets*worldShape.Experts),
		})
	}
	return w
}

// worldShape is the shape of a world's engines.
var worldShape = &route.Group{
	LayerSets:      2,
	Experts:        12,
	ExpertsPerRank: 6,
	MaxNewExperts:  3,
}

// run begins passes until ctx ends. The demand moves to other experts each
// shiftPasses passes.
func (w *world) run(ctx context.Context) {
	shift := 0
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(passTime)
		w.mu.Lock()
		if n%shiftPasses == 0 {
			shift++
		}
		w.choose(shift)
		w.begin()
		w.mu.Unlock()
	}
}

// choose counts what the requests of one pass chose. The caller holds mu.
func (w *world) choose(shift int) {
	for _, r := range w.ranks {
		for i := range r.demand {
			r.demand[i] += 20
			// Two experts that one rank holds at first.
			if e := (i + 5*shift) % worldShape.Experts; e == 0 || e == len(w.ranks) {
				r.demand[i] += 400
			}
		}
	}
}

// begin begins the next pass unless a rank holds the group. The caller holds mu.
func (w *world) begin() {
	next := w.step + 1
	if w.idle {
		return
	}
	for _, r := range w.ranks {
		if r.report.Held && r.report.HeldStep == next {
			return
		}
	}
	w.step = next
	for _, r := range w.ranks {
		if r.report.Armed && r.report.ArmedStep == next {
			r.report.Map = r.report.ArmedMap
			r.report.Armed = false
		}
	}
	for _, r := range w.ranks {
		if r.report.Map != w.ranks[0].report.Map && w.mixed == "" {
			w.mixed = "pass began with two maps"
			w.note("%s", w.mixed)
		}
	}
	w.maps = append(w.maps, w.ranks[0].report.Map)
}

// reform opens the group anew. The caller holds mu.
func (w *world) reform() {
	w.formed++
	w.note("formation %d", w.formed)
	for _, r := range w.ranks {
		r.report = Report{}
		r.newest = 0
		r.fence = 0
		clear(r.demand)
	}
}

// look returns the report of a rank. The caller holds mu.
func (r *worldRank) look() Report {
	report := r.report
	report.Group = "g"
	report.Formation = r.world.formed
	report.Rank = r.index
	report.Size = len(r.world.ranks)
	report.Open = true
	report.Step = r.world.step
	report.Slowdown = 1
	return report
}

// carryOut carries out an order and notes it. The caller holds mu.
func (r *worldRank) carryOut(order Order) error {
	err := r.obey(order)
	r.world.note("rank %d: %s map %d step %d fence %d formation %d: %v",
		r.index, order.Action, order.Map, order.Step, order.Fence, order.Formation, err)
	return err
}

// obey does what an order asks for, as the ranks of the platform do. The caller
// holds mu.
func (r *worldRank) obey(order Order) error {
	if order.Formation != r.world.formed {
		return ErrStateMismatch
	}
	if order.Fence < r.fence {
		return ErrFenced
	}
	r.fence = order.Fence
	begun := order.Step <= r.world.step
	switch order.Action {
	case Prepare:
		return r.prepare(order)
	case Arm:
		if begun || r.report.Prepared != order.Map {
			return ErrStateMismatch
		}
		if r.report.Armed && (r.report.ArmedMap != order.Map || r.report.ArmedStep != order.Step) {
			return ErrStateMismatch
		}
		r.report.Armed = true
		r.report.ArmedMap = order.Map
		r.report.ArmedStep = order.Step
	case Disarm:
		if r.report.Map == order.Map {
			return ErrStateMismatch
		}
		r.report.Armed = false
	case Hold:
		if begun || r.report.Held && r.report.HeldStep != order.Step {
			return ErrStateMismatch
		}
		r.report.Held = true
		r.report.HeldStep = order.Step
	case Release:
		if !r.report.Held || r.report.HeldStep != order.Step {
			return ErrStateMismatch
		}
		r.report.Held = false
	}
	return nil
}

// prepare copies a map. The caller holds mu.
func (r *worldRank) prepare(order Order) error {
	if r.report.Armed || order.Map < r.newest {
		return ErrStateMismatch
	}
	if order.Map == r.newest {
		return nil
	}
	r.newest = order.Map
	r.report.Prepared = 0
	formed := r.world.formed
	time.AfterFunc(copyTime, func() {
		r.world.mu.Lock()
		defer r.world.mu.Unlock()
		if r.world.formed == formed && r.newest == order.Map {
			r.report.Prepared = order.Map
		}
	})
	return nil
}

// check fails the test if a pass began with two maps.
func (w *world) check(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mixed != "" {
		t.Errorf("%s at pass %d", w.mixed, w.step)
	}
	if t.Failed() {
		t.Log(strings.Join(w.history[max(0, len(w.history)-shownHistory):], "\n"))
	}
}

// shownHistory is the number of lines of a history that a failure shows.
const shownHistory = 80
