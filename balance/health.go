package balance

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/qmuntal/stateless"
)

// HealthState is the state of an upstream by its own traffic.
type HealthState uint32

// The states of an upstream.
const (
	// Healthy upstreams get work.
	Healthy HealthState = iota
	// Ejected upstreams get none.
	Ejected
	// HalfOpen upstreams get a trickle of calls on trial.
	HalfOpen
)

// trigger is what moves an upstream from one State to another.
type trigger string

const (
	triggerFail trigger = "fail"
	triggerCool trigger = "cool"
	triggerPass trigger = "pass"
)

const (
	// maxFailures is the number of failures in a row that eject an upstream.
	maxFailures = 3
	// maxSlowness is how many times the median of the service the latency of
	// an upstream may be.
	maxSlowness = 3
	// minSamples is the number of answers before a latency counts.
	minSamples = 8
	// latencyShare is the weight of the newest answer in the smoothed latency.
	latencyShare = 0.1
	// maxEjected is the highest share of the upstreams of a service that is
	// not healthy at once.
	maxEjected = 0.3
	// minCooling and maxCooling bound the time that an upstream stays ejected.
	minCooling = 5 * time.Second
	maxCooling = time.Minute
	// passes is the number of calls on trial that let an upstream back in.
	passes = 3
)

var (
	ejections  = metrics.NewCounter("foxtailstack_balance_ejections_total")
	readmitted = metrics.NewCounter("foxtailstack_balance_readmissions_total")
	spared     = metrics.NewCounter("foxtailstack_balance_spared_total")
)

// health is what the traffic of an upstream tells of it.
type health struct {
	failures int
	latency  time.Duration
	samples  int
	passed   int
	cooling  time.Duration
	until    time.Time
}

// newMachine returns the state machine of the peer that subject points to. One
// machine serves all peers, since only their owner moves them.
func newMachine(subject **peer) *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) {
			return HealthState((*subject).state.Load()), nil
		},
		func(_ context.Context, state stateless.State) error {
			next, _ := state.(HealthState)
			(*subject).state.Store(uint32(next))
			return nil
		},
		stateless.FiringImmediate,
	)
	machine.Configure(Healthy).
		Permit(triggerFail, Ejected).
		Ignore(triggerCool).
		Ignore(triggerPass)
	machine.Configure(Ejected).
		Permit(triggerCool, HalfOpen).
		Ignore(triggerFail).
		Ignore(triggerPass)
	machine.Configure(HalfOpen).
		Permit(triggerFail, Ejected).
		Permit(triggerPass, Healthy).
		Ignore(triggerCool)
	return machine
}

// fire moves a peer. The triggers of this package are permitted or ignored in
// every state.
func (d *Directory) fire(p *peer, t trigger) {
	if d.machine == nil {
		d.machine = newMachine(&d.subject)
	}
	d.subject = p
	_ = d.machine.Fire(t)
}

// UpdateHealth takes the result of an attempt into the health of its upstream. Only
// the owner calls it.
func (d *Directory) UpdateHealth(now time.Time, id Target, result entry.AttemptResult) {
	p := d.find(id)
	failed := result.Unreachable || result.Outcome == foxtailstack.Unknown
	switch {
	case p == nil || result.Canceled || result.Crashed: // the request may be the cause
	case result.Expired:
		d.expired(now, p, result.Latency)
	case failed:
		d.failed(now, p)
	case result.Outcome == foxtailstack.Ran:
		d.answered(now, p, result.Latency)
	}
}

// failed counts a failure.
func (d *Directory) failed(now time.Time, p *peer) {
	p.health.failures++
	if p.health.failures >= maxFailures || HealthState(p.state.Load()) == HalfOpen {
		d.eject(now, p)
	}
}

// expired counts an answer that was not there by the caller's deadline. When
// all upstreams are late none fails; one that hangs is late beside the others.
func (d *Directory) expired(now time.Time, p *peer, latency time.Duration) {
	p.health.note(latency)
	if HealthState(p.state.Load()) == HalfOpen {
		d.eject(now, p)
	}
}

// note takes a latency into the smoothed one.
func (h *health) note(latency time.Duration) {
	h.samples++
	if h.samples == 1 {
		h.latency = latency
	}
	h.latency += time.Duration(latencyShare * float64(latency-h.latency))
}

// answered counts an answer.
func (d *Directory) answered(now time.Time, p *peer, latency time.Duration) {
	h := &p.health
	h.failures = 0
	h.note(latency)
	if HealthState(p.state.Load()) != HalfOpen {
		return
	}
	if median := d.median(p); median > 0 && latency > maxSlowness*median {
		d.eject(now, p)
		return
	}
	h.passed++
	if h.passed >= passes {
		readmitted.Inc()
		*h = health{cooling: h.cooling}
		d.fire(p, triggerPass)
	}
}

// eject takes an upstream out of service, if not too many are already.
func (d *Directory) eject(now time.Time, p *peer) {
	if HealthState(p.state.Load()) == Healthy && !d.mayEject(p) {
		spared.Inc()
		return
	}
	ejections.Inc()
	cooling := min(max(2*p.health.cooling, minCooling), maxCooling)
	p.health = health{
		cooling: cooling,
		until:   now.Add(cooling),
	}
	d.fire(p, triggerFail)
}

// mayEject reports whether another upstream of the service of p may be ejected.
func (d *Directory) mayEject(p *peer) bool {
	all, out := 0, 0
	for _, other := range d.group(p) {
		all++
		if HealthState(other.state.Load()) != Healthy {
			out++
		}
	}
	return all > 1 && out < max(1, int(maxEjected*float64(all)))
}

// median returns the median latency of the healthy upstreams beside p, or zero
// if too few are known.
func (d *Directory) median(p *peer) time.Duration {
	var latencies []time.Duration
	for _, other := range d.group(p) {
		if other.health.samples >= minSamples && HealthState(other.state.Load()) == Healthy {
			latencies = append(latencies, other.health.latency)
		}
	}
	if len(latencies) < 2 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}

// Tick ejects upstreams that have become slow and puts ejected ones on trial
// after their time. Only the owner calls it, about once a second.
func (d *Directory) Tick(now time.Time) {
	for _, p := range d.index().peers {
		switch HealthState(p.state.Load()) {
		case Healthy:
			if p.health.samples < minSamples {
				continue
			}
			if median := d.median(p); median > 0 && p.health.latency > maxSlowness*median {
				d.eject(now, p)
			}
		case Ejected:
			if !now.Before(p.health.until) {
				d.fire(p, triggerCool)
			}
		}
	}
}
