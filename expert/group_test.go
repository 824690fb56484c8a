package expert

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/google/go-cmp/cmp"
)

const (
	stepTime     = 20 * time.Millisecond
	pollInterval = 5 * time.Millisecond
)

// faults are the faults of the network and the processes of a group.
type faults struct {
	// delay is the maximum delay of a message, and loss the probability that a
	// message is lost.
	delay time.Duration
	loss  float64
	// kills is the number of ranks that are killed and restarted within three
	// seconds after each proposal.
	kills int
	// stalls is the number of ranks whose engines stall for a second, which
	// begins within three seconds after each proposal.
	stalls int
	// rivalPlanner makes a second rank propose a map at the same time.
	rivalPlanner bool
	// outage makes the table fail from a time within three seconds after each
	// proposal until six seconds after it.
	outage bool
}

// group is a group of agents on a simulated network, with simulated engines that
// run in lock-step.
type group struct {
	size    int
	initial foxtailstack.ExpertMap
	table   standin.FaultyTable
	weights standin.Weights
	faults  faults

	mu         sync.Mutex
	rng        *rand.Rand
	agents     []*Agent
	cancels    []context.CancelFunc
	started    []foxtailstack.Step
	repeatStep []bool
	stalled    []bool
	epochs     map[foxtailstack.Step]foxtailstack.Epoch
	// sent counts the messages that each rank has sent; no check reads it.
	sent    []int
	failure string
}

// newGroup returns a group whose ranks have not been started.
func newGroup(t *testing.T, size int, seed uint64, f faults) *group {
	t.Helper()
	g := &group{
		size:       size,
		faults:     f,
		rng:        rand.New(rand.NewPCG(seed, 2)),
		agents:     make([]*Agent, size),
		cancels:    make([]context.CancelFunc, size),
		started:    make([]foxtailstack.Step, size),
		repeatStep: make([]bool, size),
		stalled:    make([]bool, size),
		epochs:     map[foxtailstack.Step]foxtailstack.Epoch{},
		sent:       make([]int, size),
	}
	g.table.Table = &memstore.Store{}
	g.weights.Time = 10 * time.Millisecond
	layer, err := RoundRobinLayer(size, 2, size)
	if err != nil {
		t.Fatalf("initial layer: %v", err)
	}
	g.initial.Layers = []foxtailstack.ExpertLayer{layer}
	return g
}

// start starts the sidecar and the engine of a rank.
func (g *group) start(ctx context.Context, r int) {
	ctx, cancel := context.WithCancel(ctx)
	a := &Agent{
		Transport: g,
		Store: Store{
			Table: &g.table,
			Group: "g",
		},
		Weights:    &g.weights,
		Ring:       &timeline.Ring{},
		InitialMap: g.initial,
	}
	err := a.Init(foxtailstack.Rank(r), g.size)
	if err != nil {
		panic(err)
	}
	g.mu.Lock()
	g.agents[r] = a
	g.cancels[r] = cancel
	g.mu.Unlock()
	go a.Run(ctx)
	go g.runEngine(ctx, a, r)
}

// runEngine runs the steps of a rank. Engines and agents start at different
// times; therefore no two of their timers expire at the same instant. The race
// detector of Go 1.26.8 crashed occasionally when a ticker was read while the
// synctest bubble ran other timers of that instant.
func (g *group) runEngine(ctx context.Context, a *Agent, r int) {
	time.Sleep(time.Microsecond / 2)
	for ctx.Err() == nil {
		step, ok := g.nextStep(r)
		if ok {
			epoch, began := a.Begin(step)
			ok = began && g.recordStep(ctx, r, step, epoch)
		}
		wait := pollInterval
		if ok {
			wait = stepTime
		}
		time.Sleep(wait)
	}
}

// nextStep returns the next step of a rank. It returns false until all ranks
// have started the step before, and while the rank is stalled.
func (g *group) nextStep(r int) (foxtailstack.Step, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.started[r] + 1
	if g.repeatStep[r] {
		step = g.started[r]
	}
	for _, other := range g.started {
		if other+1 < step {
			return 0, false
		}
	}
	return step, !g.stalled[r]
}

// recordStep records that a rank starts a step, and a failure if another rank
// started the same step on another epoch.
func (g *group) recordStep(ctx context.Context, r int, step foxtailstack.Step, epoch foxtailstack.Epoch) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	other, recorded := g.epochs[step]
	if recorded && other != epoch && g.failure == "" {
		g.failure = fmt.Sprintf("rank %d started step %d on epoch %d, other ranks on epoch %d", r, step, epoch, other)
	}
	g.epochs[step] = epoch
	g.started[r] = step
	g.repeatStep[r] = false
	return true
}

// Send implements Transport. It loses some messages and delivers the others
// after a random delay.
func (g *group) Send(msg Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent[msg.From]++
	if g.rng.Float64() < g.faults.loss {
		return
	}
	delay := time.Duration(1 + g.rng.Int64N(int64(g.faults.delay)+1))
	runAfter(delay, func() {
		g.mu.Lock()
		a := g.agents[msg.To]
		g.mu.Unlock()
		if a != nil {
			a.Receive(msg)
		}
	})
}

// runAfter runs event in a goroutine of its own after d.
func runAfter(d time.Duration, event func()) {
	go func() {
		time.Sleep(d)
		event()
	}()
}

// kill stops a rank and restarts it after a random time. The rank then repeats
// its last step.
func (g *group) kill(ctx context.Context, r int) {
	g.mu.Lock()
	g.cancels[r]()
	g.agents[r] = nil
	g.repeatStep[r] = g.started[r] > 0
	downtime := time.Duration(1 + g.rng.Int64N(int64(2*time.Second)))
	g.mu.Unlock()
	runAfter(downtime, func() {
		if ctx.Err() == nil {
			g.start(ctx, r)
		}
	})
}

// propose makes the agent of a rank propose, under the next epoch, a map that
// swaps the experts of ranks 0 and 1. It does nothing if the rank is down.
func (g *group) propose(ctx context.Context, r int) error {
	g.mu.Lock()
	a := g.agents[r]
	g.mu.Unlock()
	if a == nil {
		return nil
	}
	epoch, err := a.Store.NextEpoch(ctx, 0)
	if err != nil {
		return err
	}
	layer := append(foxtailstack.ExpertLayer(nil), g.initial.Layers[0]...)
	layer[0], layer[1] = layer[1], layer[0]
	return a.Propose(ctx, foxtailstack.ExpertMap{
		Epoch:  epoch,
		Layers: []foxtailstack.ExpertLayer{layer},
	})
}

// run starts the group, proposes maps while faults are injected and returns the
// highest epoch on which a step has run.
func (g *group) run(ctx context.Context, proposals int) foxtailstack.Epoch {
	for r := range g.size {
		g.start(ctx, r)
		time.Sleep(time.Microsecond)
	}
	time.Sleep(time.Duration(g.size) * 100 * time.Millisecond)
	for i := range proposals {
		_ = g.propose(ctx, i%g.size) // fails during an outage
		if g.faults.rivalPlanner {
			_ = g.propose(ctx, (i+1)%g.size)
		}
		g.injectFaults(ctx)
		time.Sleep(20 * time.Second)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	highest := foxtailstack.Epoch(0)
	for _, epoch := range g.epochs {
		highest = max(highest, epoch)
	}
	return highest
}

// injectFaults schedules the faults at random times within the three seconds
// after a proposal. An outage ends six seconds after the proposal.
func (g *group) injectFaults(ctx context.Context) {
	at := func(event func()) { runAfter(time.Duration(g.rng.Int64N(int64(3*time.Second))), event) }
	g.mu.Lock()
	defer g.mu.Unlock()
	ranks := g.rng.Perm(g.size)
	for _, r := range ranks[:g.faults.kills] {
		at(func() { g.kill(ctx, r) })
	}
	for _, r := range ranks[g.size-g.faults.stalls:] {
		at(func() { g.stall(r, true) })
	}
	if g.faults.outage {
		at(func() { g.table.Set(standin.Faults{Outage: true}) })
		runAfter(6*time.Second, func() { g.table.Set(standin.Faults{}) })
	}
}

// stall sets whether the engine of a rank stalls. A stall ends after a second.
func (g *group) stall(r int, on bool) {
	g.mu.Lock()
	g.stalled[r] = on
	g.mu.Unlock()
	if on {
		runAfter(time.Second, func() { g.stall(r, false) })
	}
}

// checkProgress reports the first step on which ranks differed in the epoch, and
// a rank that has not passed, within 30 s, the step that rank 0 had reached before.
func (g *group) checkProgress(t *testing.T, seed uint64) {
	t.Helper()
	g.mu.Lock()
	before := g.started[0]
	g.mu.Unlock()
	time.Sleep(30 * time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failure != "" {
		t.Errorf("seed %d: %s", seed, g.failure)
	}
	for r, step := range g.started {
		if step <= before {
			t.Errorf("seed %d: rank %d made no progress: step %d, steps of all ranks %v", seed, r, step, g.started)
			for _, a := range g.agents {
				m := a.member
				t.Logf("rank %d, generation %d is %s: state=%+v generations=%v recovery=%+v", m.rank, m.generation, m.phase, m.State(), m.generations, m.recovery)
			}
			return
		}
	}
}

func TestGroup(t *testing.T) {
	tests := map[string]struct {
		size, seeds, proposals int
		faults                 faults
		// want is the minimum epoch that must come into use.
		want foxtailstack.Epoch
	}{
		"no faults": {
			size:      8,
			seeds:     2,
			proposals: 3,
			want:      3,
		},
		"large": {
			size:      128,
			seeds:     1,
			proposals: 1,
			faults: faults{
				delay: 20 * time.Millisecond,
				loss:  0.05,
				kills: 2,
			},
		},
		"large, quiet": {
			size:      128,
			seeds:     1,
			proposals: 1,
			want:      1,
		},
		"loss": {
			size:      8,
			seeds:     20,
			proposals: 3,
			faults: faults{
				delay:  200 * time.Millisecond,
				loss:   0.2,
				stalls: 2,
			},
			want: 1,
		},
		"kills": {
			size:      8,
			seeds:     40,
			proposals: 3,
			faults: faults{
				delay: 100 * time.Millisecond,
				loss:  0.05,
				kills: 3,
			},
		},
		"pair": {
			size:      2,
			seeds:     60,
			proposals: 4,
			faults: faults{
				delay: 300 * time.Millisecond,
				kills: 1,
			},
		},
		"rivals": {
			size:      4,
			seeds:     40,
			proposals: 3,
			faults: faults{
				delay:        50 * time.Millisecond,
				loss:         0.05,
				kills:        1,
				rivalPlanner: true,
			},
		},
		"outage": {
			size:      8,
			seeds:     20,
			proposals: 2,
			faults: faults{
				delay:  20 * time.Millisecond,
				outage: true,
			},
			want: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(test.seeds) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					g := newGroup(t, test.size, seed, test.faults)
					highest := g.run(ctx, test.proposals)
					if highest < test.want {
						t.Errorf("seed %d: highest epoch in use %d, want at least %d", seed, highest, test.want)
					}
					g.checkProgress(t, seed)
					cancel()
					time.Sleep(time.Minute)
				})
			}
		})
	}
}

func TestStore(t *testing.T) {
	table := &standin.FaultyTable{Table: &memstore.Store{}}
	s := Store{
		Table: table,
		Group: "g",
	}
	ours := foxtailstack.ExpertMap{
		Epoch:  1,
		Layers: []foxtailstack.ExpertLayer{{{0}}},
	}
	theirs := foxtailstack.ExpertMap{
		Epoch:  1,
		Layers: []foxtailstack.ExpertLayer{{{1}}},
	}
	table.Set(standin.Faults{LoseAnswers: 1})
	_, err := s.Put(t.Context(), ours)
	if err != nil {
		t.Errorf("put whose answer is lost after the write: error %v", err)
	}
	_, err = s.Put(t.Context(), theirs)
	if !errors.Is(err, ErrEpochTaken) {
		t.Errorf("put of another map under the same epoch: error %v, want ErrEpochTaken", err)
	}
	got, err := s.GetEpoch(t.Context(), 1)
	if diff := cmp.Diff(ours, got); diff != "" || err != nil {
		t.Errorf("stored map: error %v (-want +got):\n%s", err, diff)
	}
	next, err := s.NextEpoch(t.Context(), 0)
	if next != 2 || err != nil {
		t.Errorf("next epoch %d, error %v, want epoch 2", next, err)
	}
	table.Set(standin.Faults{Outage: true})
	_, err = s.Put(t.Context(), theirs)
	if !errors.Is(err, ErrStore) {
		t.Errorf("put during an outage: error %v, want ErrStore", err)
	}
}
