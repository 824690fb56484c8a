package measure

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/wire"
)

// spreadSystem is a number of processes with one table.
type spreadSystem struct {
	memory memstore.Store
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
