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
	// maxProbeWait is the maximum time that a request waits for probes.
	maxProbeWait = 20 * time.Millisecond
	// probeTimeout is the timeout of one probe.
	probeTimeout = 500 * time.Millisecond
)

var (
	probesSent       = metrics.NewCounter("foxtailstack_balance_probes_total")
	probesFailed     = metrics.NewCounter("foxtailstack_balance_probes_failed_total")
	probesSuppressed = metrics.NewCounter("foxtailstack_balance_probes_held_total")
)

// ProbeClient sends probes to sidecars. *wire.Client implements it.
type ProbeClient interface {
	// Call sends request to address and decodes the answer into response.
	Call(ctx context.Context, address foxtailstack.Address, kind wire.Kind, request, response any) error
}

// prober sends probes within a budget, at most one at a time to each upstream, and
// carries the changes of the leaving instances. It sends nothing before enable is
// called.
type prober struct {
	// leavingUpdates carries the addresses of the leaving instances to Run.
	leavingUpdates chan map[foxtailstack.Address]bool

	mu     sync.Mutex
	ctx    context.Context
	client ProbeClient
	// pending holds the callbacks of the probes in flight.
	pending map[fleet.UpstreamID][]func(upstream.ProbeResponse, time.Duration, error)
	budget  ProbeBudget
}

// enable lets the prober send probes until ctx ends.
func (p *prober) enable(ctx context.Context, client ProbeClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leavingUpdates = make(chan map[foxtailstack.Address]bool)
	p.ctx = ctx
	p.client = client
	p.pending = map[fleet.UpstreamID][]func(upstream.ProbeResponse, time.Duration, error){}
}

// start sends a probe to an upstream, or joins one in flight, and calls done with
// its result. If the budget is spent, the prober is not enabled or the ctx of enable
// has ended, start returns false and done is not called.
func (p *prober) start(target Target, done func(upstream.ProbeResponse, time.Duration, error)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil || p.ctx.Err() != nil {
		return false
	}
	callbacks, inFlight := p.pending[target.ID]
	if !inFlight && !p.budget.Spend(time.Now()) {
		probesSuppressed.Inc()
		return false
	}
	p.pending[target.ID] = append(callbacks, done)
	if !inFlight {
		go p.send(target)
	}
	return true
}

// send makes one probe and passes its result to all callbacks of the target.
func (p *prober) send(target Target) {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	probesSent.Inc()
	began := time.Now()
	var answer upstream.ProbeResponse
	err := p.client.Call(ctx, target.Address, upstream.StreamProbe, upstream.Probe{Upstream: target.ID.String()}, &answer)
	if err != nil {
		probesFailed.Inc()
	}
	roundTrip := time.Since(began)
	p.mu.Lock()
	callbacks := p.pending[target.ID]
	delete(p.pending, target.ID)
	p.mu.Unlock()
	for _, done := range callbacks {
		done(answer, roundTrip, err)
	}
}

// sendLeaving passes the addresses of the leaving instances to Run.
func (p *prober) sendLeaving(ctx context.Context, leaving map[foxtailstack.Address]bool) {
	select {
	case p.leavingUpdates <- leaving:
	case <-ctx.Done():
	}
}

// leavingAddresses returns the addresses of the instances that are leaving.
func leavingAddresses(instances []foxtailstack.Instance) map[foxtailstack.Address]bool {
	leaving := map[foxtailstack.Address]bool{}
	for _, instance := range instances {
		if instance.Leaving {
			leaving[instance.Address] = true
		}
	}
	return leaving
}
