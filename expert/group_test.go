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
	stepTime = 20 * time.Millisecond
	pollTime = 5 * time.Millisecond
)

// faults is how the network and the processes of a group misbehave.
type faults struct {
	delay time.Duration
	loss  float64
	// kills is the number of ranks killed, one after another.
	kills int
	// stalls is the number of ranks whose engines stall for a second.
	stalls int
	// rival lets a second planner propose at the same time.
	rival  bool
	outage bool
}

// group is a group of agents with engines in lock-step on a fake network.
type group struct {
	size    int
	initial foxtailstack.ExpertMap
	table   standin.FaultyTable
	weights standin.Weights
	faults  faults

	mu      sync.Mutex
	rng     *rand.Rand
	agents  []*Agent
	cancels []context.CancelFunc
	started []foxtailstack.Step
	redo    []bool
	stalled []bool
	epochs  map[foxtailstack.Step]foxtailstack.Epoch
	sent    []int
	failure string
}

// newGroup returns a group that has not started.
func newGroup(t *testing.T, size int, seed uint64, f faults) *group {
	t.Helper()
	g := &group{
		size:    size,
		faults:  f,
		rng:     rand.New(rand.NewPCG(seed, 2)),
		agents:  make([]*Agent, size),
		cancels: make([]context.CancelFunc, size),
		started: make([]foxtailstack.Step, size),
		redo:    make([]bool, size),
		stalled: make([]bool, size),
		epochs:  map[foxtailstack.Step]foxtailstack.Epoch{},
		sent:    make([]int, size),
	}
	g.table.Table = &memstore.Store{}
	g.weights.Time = 10 * time.Millisecond
	layer, err := RoundRobinLayer(size, 2, size)
	if err != nil {
		t.Fatal(err)
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
	go g.engine(ctx, a, r)
}

// engine runs the steps of a rank.
//
// Engines and agents start at times of their own, so that no two of their timers
// are due at once: the race detector of Go 1.26.8 crashed now and then where a
// ticker is read while the bubble runs other timers of the same instant.
func (g *group) engine(ctx context.Context, a *Agent, r int) {
	time.Sleep(time.Microsecond / 2)
	for ctx.Err() == nil {
		step, ok := g.next(r)
		if ok {
			epoch, began := a.BeginStep(step)
			ok = began && g.record(ctx, r, step, epoch)
		}
		wait := pollTime
		if ok {
			wait = stepTime
		}
		time.Sleep(wait)
	}
}

// next returns the next step of a rank, once all ranks have begun the last.
func (g *group) next(r int) (foxtailstack.Step, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.started[r] + 1
	if g.redo[r] {
		step = g.started[r]
	}
	for _, other := range g.started {
		if other+1 < step {
			return 0, false
		}
	}
	return step, !g.stalled[r]
}

// record checks a step against the history.
func (g *group) record(ctx context.Context, r int, step foxtailstack.Step, epoch foxtailstack.Epoch) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	other, known := g.epochs[step]
	if known && other != epoch && g.failure == "" {
		g.failure = fmt.Sprintf("rank %d started step %d on epoch %d, others on %d", r, step, epoch, other)
	}
	g.epochs[step] = epoch
	g.started[r] = step
	g.redo[r] = false
	return true
}

// Send delivers a message late, or not at all.
func (g *group) Send(msg Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent[msg.From]++
	if g.rng.Float64() < g.faults.loss {
		return
	}
	delay := time.Duration(1 + g.rng.Int64N(int64(g.faults.delay)+1))
	after(delay, func() {
		g.mu.Lock()
		a := g.agents[msg.To]
		g.mu.Unlock()
		if a != nil {
			a.Receive(msg)
		}
	})
}

// after runs event in a goroutine of its own.
func after(d time.Duration, event func()) {
	go func() {
		time.Sleep(d)
		event()
	}()
}

// kill ends a rank and starts it anew after a while.
func (g *group) kill(ctx context.Context, r int) {
	g.mu.Lock()
	g.cancels[r]()
	g.agents[r] = nil
	g.redo[r] = g.started[r] > 0
	down := time.Duration(1 + g.rng.Int64N(int64(2*time.Second)))
	g.mu.Unlock()
	after(down, func() {
		if ctx.Err() == nil {
			g.start(ctx, r)
		}
	})
}

// propose lets the agent of a rank propose the next map; some experts swap.
func (g *group) propose(ctx context.Context, r int) error {
	g.mu.Lock()
	a := g.agents[r]
	g.mu.Unlock()
	if a == nil {
		return nil
	}
	epoch, err := a.Store.Next(ctx, 0)
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

// run starts the group, proposes maps under the faults and returns the highest
// epoch that a step has used.
func (g *group) run(ctx context.Context, proposals int) foxtailstack.Epoch {
	for r := range g.size {
		g.start(ctx, r)
		time.Sleep(time.Microsecond)
	}
	time.Sleep(time.Duration(g.size) * 100 * time.Millisecond)
	for i := range proposals {
		_ = g.propose(ctx, i%g.size) // an outage may refuse it
		if g.faults.rival {
			_ = g.propose(ctx, (i+1)%g.size)
		}
		g.disturb(ctx)
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

// disturb makes the faults happen at random times within a switch.
func (g *group) disturb(ctx context.Context) {
	at := func(event func()) { after(time.Duration(g.rng.Int64N(int64(3*time.Second))), event) }
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
		after(6*time.Second, func() { g.table.Set(standin.Faults{}) })
	}
}

// stall stops the engine of a rank for a second.
func (g *group) stall(r int, on bool) {
	g.mu.Lock()
	g.stalled[r] = on
	g.mu.Unlock()
	if on {
		after(time.Second, func() { g.stall(r, false) })
	}
}

// check reports a broken history, and a rank that cannot go on.
func (g *group) check(t *testing.T, seed uint64) {
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
			t.Errorf("seed %d: rank %d is still at step %d of %v", seed, r, step, g.started)
			for _, a := range g.agents {
				m := a.member
				t.Logf("rank %d, life %d is %s: %+v known=%v recover=%+v", m.rank, m.life, m.phase, m.State(), m.known, m.recover)
			}
			return
		}
	}
}

func TestGroup(t *testing.T) {
	tests := map[string]struct {
		size, seeds, proposals int
		faults                 faults
		// want is the least epoch that must come into use.
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
				delay: 50 * time.Millisecond,
				loss:  0.05,
				kills: 1,
				rival: true,
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
						t.Errorf("seed %d: epoch %d in use, expected %d", seed, highest, test.want)
					}
					g.check(t, seed)
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
		t.Errorf("answer lost after the write: %v", err)
	}
	_, err = s.Put(t.Context(), theirs)
	if !errors.Is(err, ErrProposed) {
		t.Errorf("epoch taken: error %v", err)
	}
	got, err := s.Find(t.Context(), 1)
	if diff := cmp.Diff(ours, got); diff != "" || err != nil {
		t.Errorf("error %v, map:\n%s", err, diff)
	}
	next, err := s.Next(t.Context(), 0)
	if next != 2 || err != nil {
		t.Errorf("next epoch %d, %v", next, err)
	}
	table.Set(standin.Faults{Outage: true})
	_, err = s.Put(t.Context(), theirs)
	if !errors.Is(err, ErrStore) {
		t.Errorf("outage: error %v", err)
	}
}
