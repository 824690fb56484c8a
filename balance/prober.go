package balance

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
)

const (
	// maxAwait is the time that a request waits for probes at most.
	maxAwait = 20 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
)

var (
	probesSent   = metrics.NewCounter("foxtailstack_balance_probes_total")
	probesFailed = metrics.NewCounter("foxtailstack_balance_probes_failed_total")
	probesHeld   = metrics.NewCounter("foxtailstack_balance_probes_held_total")
)

// PeerClient makes one exchange with a peer. A *wire.Client is one.
type PeerClient interface {
	// Call sends request and decodes the answer into response.
	Call(ctx context.Context, address foxtailstack.Address, kind wire.Kind, request, response any) error
}

// prober sends probes within a budget, one at a time to each upstream. Until
// it is enabled it sends none.
type prober struct {
	leaving chan map[foxtailstack.Address]bool

	mu     sync.Mutex
	ctx    context.Context
	client PeerClient
	open   map[fleet.UpstreamID][]func(upstream.Sighting, time.Duration, error)
	budget ProbeBudget
}

// enable lets the prober send probes until ctx ends.
func (b *prober) enable(ctx context.Context, client PeerClient) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = make(chan map[foxtailstack.Address]bool)
	b.ctx = ctx
	b.client = client
	b.open = map[fleet.UpstreamID][]func(upstream.Sighting, time.Duration, error){}
}

// ask sends a probe to an upstream, or joins one that is under way, and calls
// done with its result. It returns false, and done is not called, if the budget
// is spent.
func (b *prober) ask(target Target, done func(upstream.Sighting, time.Duration, error)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.client == nil || b.ctx.Err() != nil {
		return false
	}
	waiting, under := b.open[target.ID]
	if !under && !b.budget.Spend(time.Now()) {
		probesHeld.Inc()
		return false
	}
	b.open[target.ID] = append(waiting, done)
	if !under {
		go b.send(target)
	}
	return true
}

// send makes one probe and hands its result to all who wait for it.
func (b *prober) send(target Target) {
	ctx, cancel := context.WithTimeout(b.ctx, probeTimeout)
	defer cancel()
	probesSent.Inc()
	began := time.Now()
	var seen upstream.Sighting
	err := b.client.Call(ctx, target.Address, upstream.StreamProbe, upstream.Probe{Upstream: target.ID.String()}, &seen)
	if err != nil {
		probesFailed.Inc()
	}
	way := time.Since(began)
	b.mu.Lock()
	waiting := b.open[target.ID]
	delete(b.open, target.ID)
	b.mu.Unlock()
	for _, done := range waiting {
		done(seen, way, err)
	}
}

// tellLeaving tells the owner of the directory which instances leave.
func (b *prober) tellLeaving(ctx context.Context, leaving map[foxtailstack.Address]bool) {
	select {
	case b.leaving <- leaving:
	case <-ctx.Done():
	}
}

// leavingOf returns the addresses of the instances that leave.
func leavingOf(instances []foxtailstack.Instance) map[foxtailstack.Address]bool {
	leaving := map[foxtailstack.Address]bool{}
	for _, instance := range instances {
		if instance.Leaving {
			leaving[instance.Address] = true
		}
	}
	return leaving
}
