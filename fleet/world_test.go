package fleet

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/wire"
)

// inForceLimit is the time in which a change is in force everywhere.
const inForceLimit = 4 * time.Second

// overhead is the size of the length of a message and of the headers of its
// datagram and of the acknowledgement, in bytes.
const overhead = 4 + 110

// world is a set of processes with a table and a list of instances.
type world struct {
	t      *testing.T
	table  standin.FaultyTable
	memory memstore.Store
	mu     sync.Mutex
	nodes  map[foxtailstack.Address]*worldNode
	list   []foxtailstack.Instance
	// listDown refuses reads of the list.
	listDown bool
}

// worldNode is one process.
type worldNode struct {
	*Spreader
	world  *world
	table  standin.FaultyTable
	ctx    context.Context
	cancel context.CancelFunc
	frozen atomic.Bool
	bytes  atomic.Int64
}

func newWorld(t *testing.T) *world {
	w := &world{
		t:     t,
		nodes: map[foxtailstack.Address]*worldNode{},
	}
	w.table.Table = &w.memory
	return w
}

// Instances returns the list of instances.
func (w *world) Instances(context.Context) ([]foxtailstack.Instance, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listDown {
		return nil, foxtailstack.ErrUnavailable
	}
	return append([]foxtailstack.Instance(nil), w.list...), nil
}

// add lists processes of a role in a data centre; run starts them.
func (w *world) add(centre foxtailstack.DataCentre, role foxtailstack.Role, n int) {
	var added []foxtailstack.Instance
	for i := range n {
		name := fmt.Sprintf("%s-%s-%d", centre, role, i)
		added = append(added, foxtailstack.Instance{
			Name:    foxtailstack.InstanceName(name),
			Role:    role,
			Address: foxtailstack.Address(name),
			Centre:  centre,
		})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = append(w.list, added...)
}

// run starts the listed processes that have not been started.
func (w *world) run() {
	for _, instance := range w.list {
		if w.nodes[instance.Address] == nil {
			w.start(instance)
		}
	}
}

// start starts a process, in place of a former one at its address.
func (w *world) start(instance foxtailstack.Instance) *worldNode {
	n := &worldNode{world: w}
	n.table.Table = &w.table
	n.ctx, n.cancel = context.WithCancel(w.t.Context())
	n.Spreader = &Spreader{
		Store:   Store{Table: &n.table},
		Replica: &Replica{},
		Self:    instance,
		List:    w,
		Dialer:  n,
	}
	w.mu.Lock()
	w.nodes[instance.Address] = n
	w.mu.Unlock()
	go n.Run(n.ctx)
	return n
}

// stop ends all processes.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.cancel()
	}
	time.Sleep(time.Minute)
}

// behind returns the processes that run and lack a revision.
func (w *world) behind(revision foxtailstack.Revision) []foxtailstack.InstanceName {
	var names []foxtailstack.InstanceName
	for _, n := range w.nodes {
		if n.ctx.Err() == nil && !n.frozen.Load() && n.Replica.Snapshot().Revision < revision {
			names = append(names, n.Self.Name)
		}
	}
	return names
}

// commit commits a change and checks that it is in force everywhere in time. No
// process may say that it is before.
func (w *world) commit(limit time.Duration) foxtailstack.Revision {
	w.t.Helper()
	revision := declare(w.t, Store{Table: &w.memory}, KindFleet, "formula", "{}").Resource.Revision
	deadline := time.Now().Add(limit)
	for len(w.behind(revision)) > 0 {
		if time.Now().After(deadline) {
			w.t.Fatalf("revision %d is not in force after %s in %v", revision, limit, w.behind(revision))
		}
		w.checkClaims(revision)
		time.Sleep(50 * time.Millisecond)
	}
	return revision
}

// checkClaims checks that nobody says that a revision is in force everywhere
// while a listed process lacks it.
func (w *world) checkClaims(revision foxtailstack.Revision) {
	w.t.Helper()
	behind := w.behind(revision)
	for _, n := range w.nodes {
		s := n.Status(revision)
		if len(behind) > 0 && s.InForce == s.Total {
			w.t.Fatalf("%s says %d of %d, but %v lack revision %d", n.Self.Name, s.InForce, s.Total, behind, revision)
		}
	}
}

// checkHeard checks that every process that is no poller hears from a relay.
func (w *world) checkHeard() {
	w.t.Helper()
	for _, n := range w.nodes {
		silent := time.Since(time.Unix(0, n.heard.Load()))
		if n.ctx.Err() == nil && !n.frozen.Load() && !n.planned().poll && silent > 2*time.Second {
			w.t.Errorf("%s has heard from no relay for %s", n.Self.Name, silent)
		}
	}
}

// checkMissing checks for a while that nobody says that a revision is in force
// everywhere.
func (w *world) checkMissing(revision foxtailstack.Revision, d time.Duration) {
	w.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range w.nodes {
			s := n.Status(revision)
			if n.ctx.Err() == nil && !n.frozen.Load() && s.InForce == s.Total {
				w.t.Fatalf("%s says %d of %d, but a process lacks revision %d", n.Self.Name, s.InForce, s.Total, revision)
			}
		}
	}
}

// pollers returns the processes of a data centre that poll.
func (w *world) pollers(centre foxtailstack.DataCentre) []*worldNode {
	var picked []*worldNode
	for _, n := range w.nodes {
		if n.Self.Centre == centre && n.planned().root {
			picked = append(picked, n)
		}
	}
	return picked
}

// Open opens a stream to another process of the world.
func (n *worldNode) Open(ctx context.Context, address foxtailstack.Address, kind wire.Kind) (Stream, error) {
	n.world.mu.Lock()
	peer := n.world.nodes[address]
	n.world.mu.Unlock()
	if peer == nil || peer.ctx.Err() != nil {
		return nil, wire.ErrUnreachable
	}
	if peer.frozen.Load() || n.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.bytes.Add(overhead) // the first message names the kind
	peer.bytes.Add(overhead)
	near, far := newPipe(n, peer)
	go func() {
		if kind == StreamConfig {
			peer.serve(far.ctx, far)
		} else {
			peer.takeSummary(far)
		}
		time.Sleep(time.Millisecond) // what was sent arrives
		far.Cancel()
	}()
	return near, nil
}

// pipe is one end of a stream within the world.
type pipe struct {
	from, to *worldNode
	ctx      context.Context
	cancel   context.CancelFunc
	in, out  chan []byte
}

// newPipe returns both ends of a stream, which ends with either process.
func newPipe(a, b *worldNode) (near, far *pipe) {
	ctx, cancel := context.WithCancel(a.ctx)
	context.AfterFunc(b.ctx, cancel)
	there, back := make(chan []byte, 64), make(chan []byte, 64)
	near = &pipe{
		from:   a,
		to:     b,
		ctx:    ctx,
		cancel: cancel,
		in:     back,
		out:    there,
	}
	far = &pipe{
		from:   b,
		to:     a,
		ctx:    ctx,
		cancel: cancel,
		in:     there,
		out:    back,
	}
	return near, far
}

func (p *pipe) Send(v any) error {
	data, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > wire.MaxMessageSize {
		return wire.ErrTooLong
	}
	if p.from.frozen.Load() || p.to.frozen.Load() {
		return p.ctx.Err()
	}
	p.from.bytes.Add(int64(len(data) + overhead))
	p.to.bytes.Add(int64(len(data) + overhead))
	select {
	case p.out <- data:
		return nil
	case <-p.ctx.Done():
		return wire.ErrClosed
	}
}

func (p *pipe) Receive(v any) error {
	select {
	case data := <-p.in:
		return wire.Unmarshal(data, v)
	case <-p.ctx.Done():
		return io.EOF
	}
}

func (p *pipe) Cancel() { p.cancel() }
