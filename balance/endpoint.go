package balance

import (
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/zeebo/xxh3"
)

const (
	// defaultServiceTime is the service time of an upstream that has not reported
	// one, since it has not yet finished a call.
	defaultServiceTime = time.Second
	// trialInterval is the minimum time between two trial calls of this entry to
	// one upstream.
	trialInterval = time.Second
	// minWaitAfterRefusal is the minimum queueing time expected of an upstream
	// that has refused a call.
	minWaitAfterRefusal = 500 * time.Millisecond
)

// observedLoad is the load of an upstream as last reported by a probe. A refusal
// corrects it.
type observedLoad struct {
	load       upstream.Load
	observedAt time.Time
	// inflight is the number of calls in flight from this entry at the time of
	// observation.
	inflight int64
	// cachedPrefixes are the prefixes that the engine probably has in its cache.
	cachedPrefixes upstream.PrefixSet
	// roundTrip is the duration of the probe.
	roundTrip time.Duration
	// minWait is the minimum queueing time after a refusal, otherwise zero.
	minWait time.Duration
}

// endpoint is an upstream with the state that one entry has observed. It is
// immutable except for its endpointState, which it shares with the endpoints that
// replace it when the configuration changes.
type endpoint struct {
	*endpointState
	member fleet.Member
	hash   uint64
	// leaving is set if the list of instances marks the instance as leaving.
	leaving bool
}

// endpointState is the mutable state of one upstream. Only the goroutine that owns
// the Directory uses stats. The other fields are safe for concurrent use.
type endpointState struct {
	inflight atomic.Int64
	observed atomic.Pointer[observedLoad]
	// probeFailed is set if the last probe of the upstream failed or was answered
	// for another upstream.
	probeFailed atomic.Bool
	healthState atomic.Uint32
	// nextTrial is the earliest time of the next trial call in Unix nanoseconds.
	nextTrial atomic.Int64

	stats trafficStats
}

// newEndpoint returns the endpoint of an upstream.
func newEndpoint(member fleet.Member, leaving bool, state *endpointState) *endpoint {
	return &endpoint{
		endpointState: state,
		member:        member,
		hash:          xxh3.HashString(member.ID.String()),
		leaving:       leaving,
	}
}

// takesNoNewWork reports whether the upstream takes no new work because of its
// configuration, its instance or its own report.
func (e *endpoint) takesNoNewWork() bool {
	if e.member.Drain || e.leaving {
		return true
	}
	observed := e.observed.Load()
	return observed != nil && observed.load.Draining
}

// available reports whether the upstream is Healthy and its last probe, if any, did
// not fail.
func (e *endpoint) available() bool {
	return !e.probeFailed.Load() && HealthState(e.healthState.Load()) == Healthy
}

// claimTrial reports whether the upstream is due for a trial call. If so, it
// schedules the next trial, so that only one attempt gets this one.
func (e *endpoint) claimTrial(now time.Time) bool {
	if HealthState(e.healthState.Load()) != HalfOpen || e.probeFailed.Load() {
		return false
	}
	next := e.nextTrial.Load()
	return now.UnixNano() >= next && e.nextTrial.CompareAndSwap(next, now.Add(trialInterval).UnixNano())
}

// observe records the answer to a probe.
func (e *endpoint) observe(now time.Time, answer upstream.ProbeResponse, roundTrip time.Duration) {
	e.probeFailed.Store(false)
	e.observed.Store(&observedLoad{
		load:           answer.Load,
		cachedPrefixes: answer.CachedPrefixes,
		observedAt:     now,
		inflight:       e.inflight.Load(),
		roundTrip:      roundTrip,
	})
}

// observeRefusal corrects the observed load after the upstream has refused a call:
// all slots count as busy, and the expected wait is at least minWaitAfterRefusal
// and at least the last reported wait.
func (e *endpoint) observeRefusal(now time.Time) {
	corrected := observedLoad{inflight: e.inflight.Load()}
	if observed := e.observed.Load(); observed != nil {
		corrected.load = observed.load
		corrected.roundTrip = observed.roundTrip
		corrected.cachedPrefixes = observed.cachedPrefixes
	}
	corrected.observedAt = now
	corrected.load.Running = max(corrected.load.Running, corrected.load.Slots)
	corrected.minWait = max(minWaitAfterRefusal, corrected.load.ExpectedWait)
	e.observed.Store(&corrected)
}

// expectedWait returns the expected queueing time of a call, or false if the load
// is unknown. The load is corrected by the change of this entry's calls in flight
// since the observation. The wait is the time until a slot is free for the call,
// assuming that Slots calls run at a time for MeanServiceTime each.
func (e *endpoint) expectedWait() (time.Duration, bool) {
	observed := e.observed.Load()
	if observed == nil {
		return 0, false
	}
	calls := int64(observed.load.Running+observed.load.Queued) + e.inflight.Load() - observed.inflight
	excess := calls - int64(observed.load.Slots)
	if excess < 0 {
		return observed.minWait, true
	}
	serviceTime := observed.load.MeanServiceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	wait := serviceTime * time.Duration(excess+1) / time.Duration(max(observed.load.Slots, 1))
	return max(wait, observed.minWait), true
}

// holdsPrefix reports whether, by the last observed load, the engine probably has
// a prefix in its cache.
func (e *endpoint) holdsPrefix(prefix upstream.Prefix) bool {
	observed := e.observed.Load()
	return observed != nil && observed.cachedPrefixes.Has(prefix)
}

// serviceTime returns the last reported service time, or zero if it is unknown.
func (e *endpoint) serviceTime() time.Duration {
	observed := e.observed.Load()
	if observed == nil {
		return 0
	}
	return observed.load.MeanServiceTime
}

// observationAge returns the time since the load was observed, or false if it
// never was.
func (e *endpoint) observationAge(now time.Time) (time.Duration, bool) {
	observed := e.observed.Load()
	if observed == nil {
		return 0, false
	}
	return now.Sub(observed.observedAt), true
}
