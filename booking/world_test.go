package booking_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/team"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
)

var orders = fleet.ServiceID{
	Fleet:   "formula",
	Service: "orders",
}

// host is one process, which may be paused or killed.
type host struct {
	mu      sync.Mutex
	resumed chan struct{}
	dead    context.Context
	kill    context.CancelFunc
	streams []*wire.Stream
}

func newHost() *host {
	h := &host{}
	h.dead, h.kill = context.WithCancel(context.Background())
	return h
}

// step waits while the host is paused and, now and then, pauses by itself.
func (h *host) step(chaos float64) error {
	if rand.Float64() < chaos {
		time.Sleep(rand.N(7 * time.Second))
	}
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	return h.dead.Err()
}

func (h *host) pause(d time.Duration) {
	resumed := make(chan struct{})
	h.mu.Lock()
	h.resumed = resumed
	h.mu.Unlock()
	time.Sleep(d)
	close(resumed)
}

// die ends the host: nothing that it does from now on has an effect.
func (h *host) die() {
	h.kill()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.streams {
		s.Cancel()
	}
}

// hold ends a stream with the host.
func (h *host) hold(s *wire.Stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams = append(h.streams, s)
}

// hostTable is the table as one host reaches it.
type hostTable struct {
	*standin.FaultyTable
	host  *host
	world *world
}

func (t *hostTable) Get(ctx context.Context, key foxtailstack.Key) (foxtailstack.Row, error) {
	if t.host.step(t.world.rate()) != nil {
		return foxtailstack.Row{}, foxtailstack.ErrUnavailable
	}
	row, err := t.FaultyTable.Get(ctx, key)
	if t.host.step(t.world.rate()) != nil {
		return row, foxtailstack.ErrUnavailable
	}
	return row, err
}

func (t *hostTable) Commit(ctx context.Context, writes ...foxtailstack.Write) error {
	if t.host.step(t.world.rate()) != nil {
		return foxtailstack.ErrUnavailable
	}
	faults := standin.Faults{
		Outage: t.world.outage.Load(),
		Delay:  rand.N(20 * time.Millisecond),
	}
	if rand.Float64() < 5*t.world.rate() {
		faults.LoseAnswers = 1
	}
	if rand.Float64() < 5*t.world.rate() {
		faults.Late = 1
		faults.LateBy = rand.N(10 * time.Second)
	}
	t.Set(faults)
	err := t.FaultyTable.Commit(ctx, writes...)
	if t.host.step(t.world.rate()) != nil {
		return foxtailstack.ErrUncertain
	}
	return err
}

// run is one run of a key by an engine.
type run struct {
	key     string
	attempt string
	seq     int64
}

// world is a set of entries and sidecars with what runs on the engines.
type world struct {
	chaos    atomic.Int64  // failures in a thousand steps
	delay    time.Duration // of one message at most
	memory   memstore.Store
	replica  fleet.Replica
	seq      func() int64
	mu       sync.Mutex
	outage   atomic.Bool
	runs     []run
	sidecars map[foxtailstack.Address]*sidecar
	entries  []*host
	tables   []*hostTable
}

// sidecar is one incarnation of a sidecar.
type sidecar struct {
	*host
	foxtailstack.Engine // only Run and Load are called
	server              *upstream.Server
	responder           booking.Responder
	world               *world
	fencing             bool
	numbers             map[string]foxtailstack.FencingToken
}

func newWorld(t *testing.T, seq func() int64, teams ...string) *world {
	t.Helper()
	w := &world{
		delay:    3 * time.Millisecond,
		seq:      seq,
		sidecars: map[foxtailstack.Address]*sidecar{},
		entries:  []*host{newHost(), newHost(), newHost()},
	}
	specs := map[string]string{
		"policies/formula/booking":    `{"idempotent":false}`,
		"services/formula/orders":     `{"path":"/orders","policy":"booking"}`,
		"upstreams/formula/orders/w0": `{"address":"127.0.0.1:1","centre":"c1","slots":8}`,
		"upstreams/formula/orders/w1": `{"address":"127.0.0.1:2","centre":"c1","slots":8}`,
		"upstreams/formula/orders/w2": `{"address":"127.0.0.1:3","centre":"c1","slots":8}`,
	}
	for _, name := range teams {
		specs["teams/"+name] = `{"callers":["` + team.Hash(name) + `"]}`
	}
	revision := foxtailstack.Revision(0)
	for id, spec := range specs {
		kind, name, _ := strings.Cut(id, "/")
		revision++
		err := w.replica.Apply([]fleet.Change{{Resource: fleet.Resource{
			ID: fleet.ID{
				Kind: fleet.Kind(kind),
				Name: name,
			},
			Version:  1,
			Revision: revision,
			Spec:     json.RawMessage(spec),
		}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, member := range w.replica.Snapshot().Upstreams[orders] {
		w.restart(member)
	}
	return w
}

// table returns the table as a host reaches it.
func (w *world) table(h *host) *hostTable {
	t := &hostTable{
		FaultyTable: &standin.FaultyTable{Table: &w.memory},
		host:        h,
		world:       w,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tables = append(w.tables, t)
	return t
}

// count returns how many rows have been read and written.
func (w *world) count() (reads, writes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tables {
		r, n := t.Count()
		reads += r
		writes += n
	}
	return reads, writes
}

// rate returns the chance of a failure at each step.
func (w *world) rate() float64 {
	return float64(w.chaos.Load()) / 1000
}

// restart replaces the sidecar of an upstream by a new incarnation.
func (w *world) restart(member fleet.Member) {
	s := &sidecar{
		host:    newHost(),
		world:   w,
		fencing: member.ID.Upstream == "w0",
		numbers: map[string]foxtailstack.FencingToken{},
	}
	s.responder = booking.Responder{
		Incarnation: foxtailstack.NewIncarnation(),
		Ledger:      &booking.Ledger{},
	}
	s.server = &upstream.Server{
		Upstream:    member.ID.String(),
		Incarnation: s.responder.Incarnation,
		Engine:      s,
		Admission:   upstream.NewAdmissionController(32),
		Ledger:      s.responder.Ledger,
		Flusher: &booking.Flusher{
			Recorder: booking.Recorder{Table: w.table(s.host)},
			Ledger:   s.responder.Ledger,
		},
		Ring: &timeline.Ring{},
	}
	w.mu.Lock()
	former := w.sidecars[member.Address]
	w.sidecars[member.Address] = s
	w.mu.Unlock()
	if former != nil {
		former.die()
		former.server.Flusher.Close()
	}
}

// Run is the engine beside a sidecar, which outlives it.
func (s *sidecar) Run(_ context.Context, call foxtailstack.EngineCall) (foxtailstack.EngineAnswer, error) {
	if s.step(s.world.rate()) != nil || rand.Float64() < 2*s.world.rate() {
		return foxtailstack.EngineAnswer{}, foxtailstack.ErrEngineRefused
	}
	w := s.world
	w.mu.Lock()
	if s.fencing && call.Fencing <= s.numbers[call.Booking] {
		w.mu.Unlock()
		return foxtailstack.EngineAnswer{}, foxtailstack.ErrEngineFailed
	}
	s.numbers[call.Booking] = call.Fencing
	w.runs = append(w.runs, run{
		key:     call.Booking,
		attempt: call.Attempt.String(),
		seq:     w.seq(),
	})
	w.mu.Unlock()
	time.Sleep(rand.N(300 * time.Millisecond))
	if rand.Float64() < 2*w.rate() {
		return foxtailstack.EngineAnswer{}, foxtailstack.ErrEngineLost
	}
	return foxtailstack.EngineAnswer{
		Status: http.StatusOK,
		Body:   io.NopCloser(strings.NewReader(call.Attempt.String())),
	}, nil
}

// Load reports an engine that is well.
func (s *sidecar) Load(context.Context) (foxtailstack.EngineLoad, error) {
	return foxtailstack.EngineLoad{}, nil
}
