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

// HealthState is the state of an upstream according to the results of its
// attempts.
type HealthState uint32

// The health states of an upstream.
const (
	// Healthy upstreams get attempts.
	Healthy HealthState = iota
	// Ejected upstreams get no attempts.
	Ejected
	// HalfOpen upstreams get one trial call per trialInterval. Trial calls
	// decide whether the upstream becomes Healthy or is ejected again.
	HalfOpen
)

// trigger is an event that may change the HealthState of an upstream.
type trigger string

const (
	triggerFail         trigger = "fail"
	triggerEjectionEnd  trigger = "cool"
	triggerTrialsPassed trigger = "pass"
)

const (
	// maxFailures is the number of consecutive failures that eject an upstream.
	maxFailures = 3
	// maxLatencyRatio is the maximum ratio of the latency of an upstream to the
	// median latency of its service.
	maxLatencyRatio = 3
	// minSamples is the number of latencies that an average needs before it is
	// compared.
	minSamples = 8
	// latencyWeight is the weight of the newest latency in the exponentially
	// weighted moving average.
	latencyWeight = 0.1
	// maxEjectedShare is the maximum fraction of the upstreams of a service that
	// may be in a state other than Healthy at one time. One upstream may always
	// be ejected if there are at least two.
	maxEjectedShare = 0.3
	// minEjectionTime and maxEjectionTime bound the time that an upstream stays
	// ejected. The time doubles from one ejection to the next.
	minEjectionTime = 5 * time.Second
	maxEjectionTime = time.Minute
	// requiredTrials is the number of successful trial calls after which an
	// upstream becomes Healthy.
	requiredTrials = 3
)

var (
	ejections        = metrics.NewCounter("foxtailstack_balance_ejections_total")
	readmissions     = metrics.NewCounter("foxtailstack_balance_readmissions_total")
	ejectionsSkipped = metrics.NewCounter("foxtailstack_balance_spared_total")
)

// trafficStats holds the results of the attempts on an upstream since its last
// ejection or readmission.
type trafficStats struct {
	consecutiveFailures int
	// averageLatency is an exponentially weighted moving average, and samples
	// the number of latencies in it.
	averageLatency time.Duration
	samples        int
	// trialsPassed is the number of successful trial calls.
	trialsPassed int
	// ejectionTime is the length of the last ejection, which ends at
	// ejectedUntil.
	ejectionTime time.Duration
	ejectedUntil time.Time
}

// newStateMachine returns the state machine of the endpoint that *transitionEndpoint
// points to. All endpoints share one machine, because only the goroutine that owns
// the directory changes their states.
func newStateMachine(transitionEndpoint **endpoint) *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) {
			return HealthState((*transitionEndpoint).healthState.Load()), nil
		},
		func(_ context.Context, state stateless.State) error {
			next, _ := state.(HealthState)
			(*transitionEndpoint).healthState.Store(uint32(next))
			return nil
		},
		stateless.FiringImmediate,
	)
	machine.Configure(Healthy).
		Permit(triggerFail, Ejected).
		Ignore(triggerEjectionEnd).
		Ignore(triggerTrialsPassed)
	machine.Configure(Ejected).
		Permit(triggerEjectionEnd, HalfOpen).
		Ignore(triggerFail).
		Ignore(triggerTrialsPassed)
	machine.Configure(HalfOpen).
		Permit(triggerFail, Ejected).
		Permit(triggerTrialsPassed, Healthy).
		Ignore(triggerEjectionEnd)
	return machine
}

// fire applies a trigger to an endpoint. It cannot fail, since each state permits
// or ignores each trigger.
func (d *Directory) fire(e *endpoint, t trigger) {
	if d.stateMachine == nil {
		d.stateMachine = newStateMachine(&d.transitionEndpoint)
	}
	d.transitionEndpoint = e
	_ = d.stateMachine.Fire(t)
}

// UpdateHealth applies the result of an attempt to the health of its upstream.
// Only the goroutine that owns the directory calls it. Canceled attempts and
// attempts during which the upstream crashed do not count, because the caller or
// the request may be the cause. Refusals by the sidecar do not count either.
func (d *Directory) UpdateHealth(now time.Time, target Target, result entry.AttemptResult) {
	e := d.find(target)
	failed := result.Unreachable || result.Outcome == foxtailstack.Unknown
	switch {
	case e == nil || result.Canceled || result.Crashed: // the request may be the cause
	case result.Expired:
		d.recordExpiry(now, e, result.Latency)
	case failed:
		d.recordFailure(now, e)
	case result.Outcome == foxtailstack.Ran:
		d.recordAnswer(now, e, result.Latency)
	}
}

// recordFailure counts a failed attempt. It ejects the endpoint after maxFailures
// consecutive failures, or at any failure in HalfOpen.
func (d *Directory) recordFailure(now time.Time, e *endpoint) {
	e.stats.consecutiveFailures++
	if e.stats.consecutiveFailures >= maxFailures || HealthState(e.healthState.Load()) == HalfOpen {
		d.eject(now, e)
	}
}

// recordExpiry counts an attempt that had no answer by the caller's deadline. The
// attempt is a latency sample and not a failure, so that short deadlines eject no
// upstream as long as all are equally slow. An upstream that hangs has a high
// latency compared with the others. In HalfOpen an expiry ejects the endpoint.
func (d *Directory) recordExpiry(now time.Time, e *endpoint, latency time.Duration) {
	e.stats.addLatency(latency)
	if HealthState(e.healthState.Load()) == HalfOpen {
		d.eject(now, e)
	}
}

// addLatency adds a sample to the moving average of the latency.
func (s *trafficStats) addLatency(latency time.Duration) {
	s.samples++
	if s.samples == 1 {
		s.averageLatency = latency
	}
	s.averageLatency += time.Duration(latencyWeight * float64(latency-s.averageLatency))
}

// recordAnswer counts an attempt that was answered. A HalfOpen endpoint is ejected
// if its latency exceeds maxLatencyRatio times the median of the service, and
// becomes Healthy after requiredTrials other answers.
func (d *Directory) recordAnswer(now time.Time, e *endpoint, latency time.Duration) {
	stats := &e.stats
	stats.consecutiveFailures = 0
	stats.addLatency(latency)
	if HealthState(e.healthState.Load()) != HalfOpen {
		return
	}
	if median := d.medianLatency(e); median > 0 && latency > maxLatencyRatio*median {
		d.eject(now, e)
		return
	}
	stats.trialsPassed++
	if stats.trialsPassed >= requiredTrials {
		readmissions.Inc()
		*stats = trafficStats{ejectionTime: stats.ejectionTime}
		d.fire(e, triggerTrialsPassed)
	}
}

// eject moves an endpoint to Ejected. A Healthy one stays in service if too many
// endpoints of its service are not Healthy already.
func (d *Directory) eject(now time.Time, e *endpoint) {
	if HealthState(e.healthState.Load()) == Healthy && !d.canEject(e) {
		ejectionsSkipped.Inc()
		return
	}
	ejections.Inc()
	ejectionTime := min(max(2*e.stats.ejectionTime, minEjectionTime), maxEjectionTime)
	e.stats = trafficStats{
		ejectionTime: ejectionTime,
		ejectedUntil: now.Add(ejectionTime),
	}
	d.fire(e, triggerFail)
}

// canEject reports whether one more endpoint of the service of e may be ejected.
func (d *Directory) canEject(e *endpoint) bool {
	total, unhealthy := 0, 0
	for _, other := range d.sameService(e) {
		total++
		if HealthState(other.healthState.Load()) != Healthy {
			unhealthy++
		}
	}
	return total > 1 && unhealthy < max(1, int(maxEjectedShare*float64(total)))
}

// medianLatency returns the median of the average latencies of the healthy
// endpoints of the service of e. It returns zero if fewer than two of them have
// enough samples.
func (d *Directory) medianLatency(e *endpoint) time.Duration {
	var latencies []time.Duration
	for _, other := range d.sameService(e) {
		if other.stats.samples >= minSamples && HealthState(other.healthState.Load()) == Healthy {
			latencies = append(latencies, other.stats.averageLatency)
		}
	}
	if len(latencies) < 2 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}

// Tick ejects upstreams that are slow compared with their service, and moves
// ejected ones to HalfOpen once their ejection time has passed. The goroutine that
// owns the directory calls it about once a second.
func (d *Directory) Tick(now time.Time) {
	for _, e := range d.index().endpoints {
		switch HealthState(e.healthState.Load()) {
		case Healthy:
			if e.stats.samples < minSamples {
				continue
			}
			if median := d.medianLatency(e); median > 0 && e.stats.averageLatency > maxLatencyRatio*median {
				d.eject(now, e)
			}
		case Ejected:
			if !now.Before(e.stats.ejectedUntil) {
				d.fire(e, triggerEjectionEnd)
			}
		}
	}
}
