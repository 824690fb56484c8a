package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/wire"
)

const (
	spreadCentres = 3
	// spreadEntries is the share of entries among the processes of a data
	// centre; there are at least four, of which three read the table.
	spreadEntries    = 0.125
	minSpreadEntries = 4
	spreadChanges    = 4
	spreadPause      = 300 * time.Millisecond
	// spreadWarmUp is the time until processes that have just started report.
	spreadWarmUp  = 7500 * time.Millisecond
	spreadIdle    = time.Second
	spreadTimeout = 10 * time.Second
	spreadPoll    = 250 * time.Millisecond
	// packetOverhead is the size of the headers of the datagram of a message and
	// of its acknowledgement, in bytes.
	packetOverhead = 110
)

// Aims for spreading, for each process.
const (
	aimInForce = 4 * time.Second
	aimBytes   = 18 << 10 // a second
	aimCPU     = 4.9      // percent of a core
	// aimReads is what the table allows in reads a second for all processes.
	aimReads = 2000
)

// spreadPlan is the extent of a run.
type spreadPlan struct {
	sizes   []int
	changes int
	warmUp  time.Duration
}

// fullSpread is the extent of the experiment.
var fullSpread = spreadPlan{
	sizes:   []int{12, 100, 300},
	changes: spreadChanges,
	warmUp:  spreadWarmUp,
}

// Spread measures how long a change takes from accepted to in force in all
// processes, and what that costs, for relays and for processes that all read
// the table. The processes share this one and talk by QUIC on loopback, in real
// time, so that figures differ between runs.
func Spread(ctx context.Context, options Options) error {
	return spread(ctx, options, fullSpread)
}

// spread runs both policies at each size.
func spread(ctx context.Context, options Options, extent spreadPlan) error {
	for _, n := range extent.sizes {
		for _, relays := range []bool{false, true} {
			rng := rand.New(rand.NewPCG(options.Seed, uint64(n)))
			line, err := runSpread(ctx, rng, n, relays, extent)
			if err != nil {
				return err
			}
			err = options.Report(line)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// spreadSystem is a number of processes with one table.
type spreadSystem struct {
	memory platform.Memory
	table  standin.FaultyTable
	config keys.Config
	list   []foxtailstack.Instance
	nodes  []*spreadNode
	byAddr map[foxtailstack.Address]*spreadNode
	relays bool
	stop   sync.WaitGroup
}

// spreadNode is one process.
type spreadNode struct {
	spreader *fleet.Spreader
	replica  fleet.Replica
	mux      wire.Mux
	client   *wire.Client
	system   *spreadSystem
	bytes    atomic.Int64
}

// runSpread measures one policy at one size.
func runSpread(ctx context.Context, rng *rand.Rand, n int, relays bool, extent spreadPlan) (Line, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &spreadSystem{
		byAddr: map[foxtailstack.Address]*spreadNode{},
		relays: relays,
	}
	s.table.Table = &s.memory
	defer s.stop.Wait()
	defer cancel()
	err := s.start(ctx, n)
	if err != nil {
		return nil, err
	}
	_, err = s.change(ctx)
	if err != nil {
		return nil, err
	}
	if relays {
		time.Sleep(extent.warmUp)
	}
	result, err := s.measure(ctx, rng, extent.changes)
	if err != nil {
		return nil, err
	}
	return s.line(result), nil
}

// start starts the processes of all data centres.
func (s *spreadSystem) start(ctx context.Context, n int) error {
	authority, err := keys.NewAuthority()
	if err != nil {
		return err
	}
	pair, err := authority.Issue("spread", "127.0.0.1")
	if err != nil {
		return err
	}
	s.config, err = keys.NewConfig(pair, authority.Cert)
	if err != nil {
		return err
	}
	entries := max(minSpreadEntries, int(spreadEntries*float64(n/spreadCentres)))
	for i := range n {
		role := foxtailstack.RoleSidecar
		if i/spreadCentres < entries {
			role = foxtailstack.RoleEntry
		}
		err = s.add(i, role)
		if err != nil {
			return err
		}
	}
	for _, node := range s.nodes {
		s.stop.Go(func() { _ = node.mux.Serve(ctx) })
		s.stop.Go(func() {
			defer node.client.Close()
			node.run(ctx)
		})
	}
	return nil
}

// add makes one process and lists it.
func (s *spreadSystem) add(i int, role foxtailstack.Role) error {
	node := &spreadNode{
		system: s,
		client: wire.NewClient(s.config.Peer),
	}
	node.spreader = &fleet.Spreader{
		Store:   fleet.Store{Table: &s.table},
		Replica: &node.replica,
		List:    s,
		Dialer:  node,
	}
	node.mux.Handle(fleet.StreamConfig, node.spreader.ServeConfig)
	node.mux.Handle(fleet.StreamSummary, node.spreader.ServeSummary)
	addr, err := node.mux.Listen("127.0.0.1:0", s.config.Peer)
	if err != nil {
		return err
	}
	node.spreader.Self = foxtailstack.Instance{
		Name:    foxtailstack.InstanceName(fmt.Sprintf("node%d", i)),
		Role:    role,
		Address: foxtailstack.Address(addr.String()),
		Centre:  foxtailstack.DataCentre(fmt.Sprintf("centre%d", i%spreadCentres)),
	}
	s.list = append(s.list, node.spreader.Self)
	s.nodes = append(s.nodes, node)
	s.byAddr[node.spreader.Self.Address] = node
	return nil
}

// Instances returns the list of all processes.
func (s *spreadSystem) Instances(context.Context) ([]foxtailstack.Instance, error) {
	return s.list, nil
}

// change commits a change and returns how long after that it was in force in
// each process.
func (s *spreadSystem) change(ctx context.Context) ([]time.Duration, error) {
	store := fleet.Store{Table: &s.memory}
	id := fleet.ID{
		Kind: fleet.KindFleet,
		Name: "formula",
	}
	current, _ := store.Get(ctx, id) // absent before the first change
	change, err := store.Commit(ctx, fleet.Proposal{
		ChangeID: foxtailstack.NewChangeID(),
		ID:       id,
		Expect:   current.Version,
		Spec:     []byte(`{"skew":1,"moves":2}`),
	})
	if err != nil {
		return nil, err
	}
	accepted := time.Now()
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	took := make([]time.Duration, len(s.nodes))
	var waiting sync.WaitGroup
	for i, node := range s.nodes {
		waiting.Go(func() {
			node.await(ctx, change.Resource.Revision)
			took[i] = time.Since(accepted)
		})
	}
	waiting.Wait()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("change is not in force after %s: %w", spreadTimeout, ctx.Err())
	}
	return took, nil
}

// busiest returns the bytes a second of the process that has most while f runs.
func (s *spreadSystem) busiest(f func() error) (float64, error) {
	for _, node := range s.nodes {
		node.bytes.Store(0)
	}
	began := time.Now()
	err := f()
	seconds := time.Since(began).Seconds()
	most := int64(0)
	for _, node := range s.nodes {
		most = max(most, node.bytes.Load())
	}
	return float64(most) / seconds, err
}

// spreadResult is the result of one policy at one size.
type spreadResult struct {
	took []time.Duration
	// idle and busy are the bytes a second of the process that has most, without
	// changes and with them.
	idle, busy float64
	// reads is the number of reads of the table a second.
	reads float64
	// cpu is the share of a core for each process in percent.
	cpu float64
}

// measure measures the costs without changes and then commits some.
func (s *spreadSystem) measure(ctx context.Context, rng *rand.Rand, changes int) (spreadResult, error) {
	var result spreadResult
	var err error
	if s.relays {
		result.idle, err = s.busiest(func() error {
			time.Sleep(spreadIdle)
			return ctx.Err()
		})
	}
	if err != nil {
		return result, err
	}
	reads, _ := s.table.Count()
	cpu := processTime()
	began := time.Now()
	result.busy, err = s.busiest(func() error {
		for range changes {
			time.Sleep(spreadPause/2 + time.Duration(rng.Int64N(int64(spreadPause))))
			took, err := s.change(ctx)
			if err != nil {
				return err
			}
			result.took = append(result.took, took...)
		}
		return nil
	})
	seconds := time.Since(began).Seconds()
	after, _ := s.table.Count()
	result.reads = float64(after-reads) / seconds
	result.cpu = 100 * (processTime() - cpu).Seconds() / seconds / float64(len(s.nodes))
	slices.Sort(result.took)
	return result, err
}

// line returns the line of a result.
func (s *spreadSystem) line(r spreadResult) Line {
	policy := "poll"
	if s.relays {
		policy = "relay"
	}
	longest := r.took[len(r.took)-1]
	aim := "met"
	if longest > aimInForce || r.idle > aimBytes || r.cpu > aimCPU || r.reads > aimReads {
		aim = "missed"
	}
	return Line{
		{
			Key:   "policy",
			Value: policy,
		},
		{
			Key:   "nodes",
			Value: len(s.nodes),
		},
		{
			Key:   "centres",
			Value: spreadCentres,
		},
		{
			Key:   "p50",
			Value: r.took[len(r.took)/2].Round(time.Millisecond),
		},
		{
			Key:   "p99",
			Value: r.took[len(r.took)*99/100].Round(time.Millisecond),
		},
		{
			Key:   "max",
			Value: longest.Round(time.Millisecond),
		},
		{
			Key:   "bytes",
			Value: r.idle,
		},
		{
			Key:   "reads",
			Value: r.reads,
		},
		{
			Key:   "cpu",
			Value: r.cpu,
		},
		{
			Key:   "burst",
			Value: r.busy,
		},
		{
			Key:   "aim",
			Value: aim,
		},
	}
}

// run keeps the process up to date by the policy of the system.
func (n *spreadNode) run(ctx context.Context) {
	if n.system.relays {
		n.spreader.Run(ctx)
		return
	}
	poller := fleet.Poller{
		Store:   fleet.Store{Table: &n.system.table},
		Replica: &n.replica,
	}
	ticker := time.NewTicker(spreadPoll)
	defer ticker.Stop()
	for {
		_ = poller.Poll(ctx) // the next poll tries again
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// await waits until a revision is in force in the process.
func (n *spreadNode) await(ctx context.Context, revision foxtailstack.Revision) {
	for {
		changed := n.replica.Changed()
		if n.replica.Snapshot().Revision >= revision {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Open opens a stream whose bytes count for both processes.
func (n *spreadNode) Open(ctx context.Context, address foxtailstack.Address, kind wire.Kind) (fleet.Stream, error) {
	stream, err := n.client.Open(ctx, address, kind)
	if err != nil {
		return nil, err
	}
	return &countedStream{
		Stream: stream,
		near:   &n.bytes,
		far:    &n.system.byAddr[address].bytes,
	}, nil
}

// countedStream counts what passes through a stream.
type countedStream struct {
	fleet.Stream
	near, far *atomic.Int64
}

// Send sends and counts a message.
func (c *countedStream) Send(v any) error {
	c.count(v)
	return c.Stream.Send(v)
}

// Receive receives and counts a message.
func (c *countedStream) Receive(v any) error {
	err := c.Stream.Receive(v)
	if err == nil {
		c.count(v)
	}
	return err
}

// count adds the size of a message at both ends.
func (c *countedStream) count(v any) {
	data, _ := wire.Marshal(v) // what is sent encodes
	size := int64(len(data) + packetOverhead)
	c.near.Add(size)
	c.far.Add(size)
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
