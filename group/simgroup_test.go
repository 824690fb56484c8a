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
	// passTime is the time of a pass of a simulated group.
	passTime = 50 * time.Millisecond
	// shiftPasses is the number of passes between two shifts of demand.
	shiftPasses = 40
	// outageTime is how long a machine is frozen.
	outageTime = 3 * time.Second
	// copyTime is the time that a rank takes to prepare a map.
	copyTime = 150 * time.Millisecond
)

// errNoAnswerInTime means that no answer to an order arrived. The order may not
// have been sent, or have been lost, or be carried out later.
var errNoAnswerInTime = errors.New("no answer")

// delivery is the outcome of one attempt to send an order.
type delivery uint8

const (
	delivered delivery = iota
	// lostOrder means that the order does not reach the rank.
	lostOrder
	// lostReply means that the order is carried out, but the reply is lost.
	lostReply
	// delayed means that the order is carried out seconds later and not
	// answered.
	delayed
	deliveryKinds
)

// simGroup simulates a group of ranks that begin passes together, and the
// delivery of orders to them. Its methods may be called by any goroutine,
// unless they say that the caller holds mu.
type simGroup struct {
	mu    sync.Mutex
	ranks []*simRank
	step  foxtailstack.Step
	// idle is set if the group makes no passes.
	idle bool
	// violation describes the first pass that began with two maps, if there was
	// one.
	violation string
	// deliveryOf decides the delivery of an order to a rank.
	deliveryOf func(rank foxtailstack.Rank, order Order) delivery
	// fanOut is that of all planners; zero stands for treeFanOut.
	fanOut int
	// configUnread is set while planners that start have no configuration.
	configUnread bool
	// forwardLost decides whether a message that a sidecar is to forward is lost, and
	// whether its reply is; nil stands for neither. The caller holds mu.
	forwardLost func() (message, reply bool)
	// delay returns by how much an order with the outcome delayed is late.
	delay func() time.Duration
	name  Name
	// beside is another group of the same service, whose ranks the planners meet too; nil
	// if there is none.
	beside *simGroup
	// foreign counts the messages of planners of other groups to its sidecars.
	foreign   int
	formation Formation
	maps      []foxtailstack.Epoch // version in use at each pass
	// lastPassAt is the time at which the last pass began, longestPass the longest time
	// between two.
	lastPassAt  time.Time
	longestPass time.Duration
	// sendTime is the time that each message of a planner takes on the link of its
	// machine, one after the other.
	sendTime time.Duration
	// history is the log of events, which is shown if a test fails.
	history []string
}

// logEvent adds a line to the history. The caller holds mu.
func (g *simGroup) logEvent(format string, args ...any) {
	line := fmt.Sprintf("%s pass %d: ", time.Now().Format("05.000"), g.step)
	g.history = append(g.history, line+fmt.Sprintf(format, args...))
}

// simRank is one rank of a simulated group.
type simRank struct {
	group  *simGroup
	index  foxtailstack.Rank
	report Report
	// newestMap is the newest map that the rank was ordered to prepare.
	newestMap foxtailstack.Epoch
	fence     foxtailstack.FencingToken
	// chosen holds how often each expert was chosen since the start, and
	// lastCounts the counts at the last sample.
	chosen     []float64
	lastCounts Counts
	// armRecord is the arm record of the rank's sidecar, and newestFence the
	// highest fencing token that the sidecar has seen.
	armRecord   ArmRecord
	newestFence foxtailstack.FencingToken
	// unreachable is set if the machine of the rank cannot be reached.
	unreachable bool
}

// newSimGroup returns a simulated group of n ranks.
func newSimGroup(n int) *simGroup {
	g := &simGroup{
		name:       "g",
		formation:  1,
		deliveryOf: func(foxtailstack.Rank, Order) delivery { return delivered },
		delay:      func() time.Duration { return 2*time.Second + rand.N(10*time.Second) },
	}
	for i := range n {
		g.ranks = append(g.ranks, &simRank{
			group:  g,
			index:  foxtailstack.Rank(i),
			chosen: make([]float64, simConfig.LayerSets*simConfig.Experts),
		})
	}
	return g
}

// simConfig is the configuration of a simulated group.
var simConfig = &route.Group{
	LayerSets:      2,
	Experts:        12,
	ExpertsPerRank: 6,
	MaxNewExperts:  3,
}

// run begins passes until ctx ends. The demand moves to other experts every
// shiftPasses passes.
func (g *simGroup) run(ctx context.Context) {
	shift := 0
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(passTime)
		g.mu.Lock()
		if n%shiftPasses == 0 {
			shift++
		}
		g.addChoices(shift)
		g.beginPass()
		g.mu.Unlock()
	}
}

// addChoices adds the choices of the requests of one pass to the counts. The
// caller holds mu.
func (g *simGroup) addChoices(shift int) {
	for _, r := range g.ranks {
		for i := range r.chosen {
			r.chosen[i] += 20
			// Two experts that are on the same rank in the initial map.
			if e := (i + 5*shift) % simConfig.Experts; e == 0 || e == len(g.ranks) {
				r.chosen[i] += 400
			}
		}
	}
}

// beginPass begins the next pass unless the group is idle or held. The caller
// holds mu.
func (g *simGroup) beginPass() {
	next := g.step + 1
	if g.idle {
		return
	}
	for _, r := range g.ranks {
		if r.report.Held && r.report.HeldStep == next {
			return
		}
	}
	g.step = next
	for _, r := range g.ranks {
		if r.report.Armed && r.report.ArmedStep == next {
			r.report.Map = r.report.ArmedMap
			r.report.Armed = false
		}
	}
	for _, r := range g.ranks {
		if r.report.Map != g.ranks[0].report.Map && g.violation == "" {
			g.violation = "pass began with two maps"
			g.logEvent("%s", g.violation)
		}
	}
	g.maps = append(g.maps, g.ranks[0].report.Map)
	now := time.Now()
	if !g.lastPassAt.IsZero() {
		g.longestPass = max(g.longestPass, now.Sub(g.lastPassAt))
	}
	g.lastPassAt = now
}

// reopen opens the group anew. The caller holds mu.
func (g *simGroup) reopen() {
	g.formation++
	g.logEvent("formation %d", g.formation)
	for _, r := range g.ranks {
		r.report = Report{}
		r.newestMap = 0
		r.fence = 0
		clear(r.chosen)
	}
}

// currentReport returns the report of the rank. The caller holds mu.
func (r *simRank) currentReport() Report {
	report := r.report
	report.Group = r.group.name
	report.Formation = r.group.formation
	report.Rank = r.index
	report.Size = len(r.group.ranks)
	report.Open = true
	report.Step = r.group.step
	report.Slowdown = 1
	return report
}

// carryOut applies an order and logs the result. The caller holds mu.
func (r *simRank) carryOut(order Order) error {
	err := r.apply(order)
	r.group.logEvent("rank %d: %s map %d step %d fence %d formation %d: %v",
		r.index, order.Action, order.Map, order.Step, order.Fence, order.Formation, err)
	return err
}

// apply applies an order by the same rules as the ranks of the platform. The
// caller holds mu.
func (r *simRank) apply(order Order) error {
	if order.Formation != r.group.formation {
		return ErrStateMismatch
	}
	if order.Fence < r.fence {
		return ErrFenced
	}
	r.fence = order.Fence
	begun := order.Step <= r.group.step
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

// prepare starts to copy the experts of a map. The caller holds mu.
func (r *simRank) prepare(order Order) error {
	if r.report.Armed || order.Map < r.newestMap {
		return ErrStateMismatch
	}
	if order.Map == r.newestMap {
		return nil
	}
	r.newestMap = order.Map
	r.report.Prepared = 0
	formation := r.group.formation
	time.AfterFunc(copyTime, func() {
		r.group.mu.Lock()
		defer r.group.mu.Unlock()
		if r.group.formation == formation && r.newestMap == order.Map {
			r.report.Prepared = order.Map
		}
	})
	return nil
}

// newSimGroupBeside returns a simulated group of n ranks with another one beside it, of the
// same formation and without passes.
func newSimGroupBeside(n int) *simGroup {
	g := newSimGroup(n)
	g.beside = newSimGroup(2)
	g.beside.name = "beside"
	return g
}

// checkBeside fails the test if a planner has disturbed the group beside this one. The
// caller holds mu.
func (g *simGroup) checkBeside(t *testing.T) {
	t.Helper()
	g.beside.mu.Lock()
	defer g.beside.mu.Unlock()
	if g.beside.foreign > 0 {
		t.Errorf("%d messages with a fencing token went to the group beside, want none", g.beside.foreign)
	}
	for _, r := range g.beside.ranks {
		if r.fence != 0 || r.newestFence != 0 || r.report != (Report{}) || r.armRecord != (ArmRecord{}) {
			t.Errorf("rank %d of the group beside: fences %d and %d, report %+v, arm record %+v, want none",
				r.index, r.fence, r.newestFence, r.report, r.armRecord)
		}
	}
}

// refuse refuses a message of a planner of another group. The caller holds mu.
func (g *simGroup) refuse() error {
	g.foreign++
	return &OtherGroupError{Group: g.name}
}

// checkPasses fails the test if a pass began with two maps or the group beside this one
// was disturbed, and shows the end
// of the history if the test has failed.
func (g *simGroup) checkPasses(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.beside != nil {
		g.checkBeside(t)
	}
	if g.violation != "" {
		t.Errorf("%s at pass %d", g.violation, g.step)
	}
	if t.Failed() {
		t.Log(strings.Join(g.history[max(0, len(g.history)-shownHistory):], "\n"))
	}
}

// shownHistory is the number of lines of the history that a failure shows.
const shownHistory = 80
