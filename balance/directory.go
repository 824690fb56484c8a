package balance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/qmuntal/stateless"
)

const (
	// numAffinityCandidates is the number of candidates that rendezvous hashing
	// selects for the prefix. addAffinityCandidates is written for two.
	numAffinityCandidates = 2
	// numRandomCandidates is the number of candidates drawn at random from the
	// data centre of the entry.
	numRandomCandidates = 2
	// drawsPerCandidate is the maximum number of draws per random candidate.
	drawsPerCandidate = 4
	// defaultPrefixMissCost is the time to compute a prefix that is not in the
	// cache of the engine.
	defaultPrefixMissCost = 200 * time.Millisecond
	// defaultRoundTrip is the round-trip time to another data centre while no
	// probe has measured it.
	defaultRoundTrip = 3 * time.Millisecond
)

// Target is the destination of a probe or an attempt: an upstream with its address, as
// the configuration lists it. It is the same type as fleet.Member, which Chooser.Choose
// and Chooser.Report use because entry.Chooser does.
type Target = fleet.Member

// serviceEndpoints holds the endpoints of one service, divided into those in the
// data centre of the entry and those in other data centres. Both are sorted by
// name, so that draws with a seeded Rand are repeatable although the maps that they
// come from are not ordered.
type serviceEndpoints struct {
	local  []*endpoint
	remote []*endpoint
}

// index holds the endpoints of one configuration. Its maps and lists are immutable; a
// new configuration gets a new index. The endpointState of an upstream is mutable and
// shared with the indexes before and after.
type index struct {
	revision  foxtailstack.Revision
	services  map[fleet.ServiceID]*serviceEndpoints
	endpoints map[fleet.UpstreamID]*endpoint
}

// Directory holds the upstreams of the configuration with their load and health
// as observed by one entry. One goroutine owns it and calls Update, RecordLoad,
// RecordProbeFailure, UpdateHealth and Tick. If Rand is nil, the other methods are
// safe for concurrent use with these. The zero value holds no upstreams.
type Directory struct {
	// Centre is the data centre of the entry.
	Centre foxtailstack.DataCentre
	// Balancer picks one of the candidates. Nil means Cheapest.
	Balancer foxtailstack.Balancer
	// PrefixMissCost is the time to compute a prefix that is not in the cache
	// of the engine. Zero means 200 ms.
	PrefixMissCost time.Duration
	// Rand is the source of all random draws. Nil means the global source, which
	// is safe for concurrent use; a *rand.Rand is not.
	Rand *rand.Rand

	current atomic.Pointer[index]
	// stateMachine holds the transitions between health states. It acts on the
	// endpoint that transitionEndpoint points to.
	stateMachine       *stateless.StateMachine
	transitionEndpoint *endpoint
}

// Update replaces the configuration and the addresses of the leaving instances.
// Upstreams that remain keep their load and health, unless their address has
// changed.
func (d *Directory) Update(snapshot *fleet.Snapshot, leaving map[foxtailstack.Address]bool) {
	old := d.index()
	next := &index{
		revision:  snapshot.Revision,
		services:  map[fleet.ServiceID]*serviceEndpoints{},
		endpoints: map[fleet.UpstreamID]*endpoint{},
	}
	for service, members := range snapshot.Upstreams {
		endpoints := &serviceEndpoints{}
		for _, member := range members {
			e := old.carryOver(member, leaving[member.Address])
			next.endpoints[member.ID] = e
			if member.Centre == d.Centre {
				endpoints.local = append(endpoints.local, e)
			} else {
				endpoints.remote = append(endpoints.remote, e)
			}
		}
		slices.SortFunc(endpoints.local, compareEndpoints)
		slices.SortFunc(endpoints.remote, compareEndpoints)
		next.services[service] = endpoints
	}
	d.current.Store(next)
}

// Revision returns the revision of the configuration of the last Update.
func (d *Directory) Revision() foxtailstack.Revision {
	return d.index().revision
}

// carryOver returns the endpoint of a member. The endpoint keeps the observed
// state of the member, except that load and health start anew if the address has
// changed.
func (i *index) carryOver(member fleet.Member, leaving bool) *endpoint {
	old, ok := i.endpoints[member.ID]
	if !ok {
		return newEndpoint(member, leaving, &endpointState{})
	}
	if old.member == member && old.leaving == leaving {
		return old
	}
	if old.member.Address != member.Address {
		old.observed.Store(nil)
		old.probeFailed.Store(false)
		old.healthState.Store(uint32(Healthy))
		old.stats = trafficStats{}
	}
	return newEndpoint(member, leaving, old.endpointState)
}

// RecordLoad records the answer of an upstream to a probe and its round-trip time.
func (d *Directory) RecordLoad(now time.Time, target Target, answer upstream.ProbeResponse, roundTrip time.Duration) {
	if e := d.find(target); e != nil {
		e.observe(now, answer, roundTrip)
	}
}

// RecordProbeFailure records that a probe of an upstream failed or was answered for
// another upstream.
func (d *Directory) RecordProbeFailure(target Target) {
	if e := d.find(target); e != nil {
		e.probeFailed.Store(true)
	}
}

// RecheckTargets returns at most n upstreams that get no work because of their load
// report, failed probes or health. Probes find out whether they can take work
// again. The upstreams are drawn at random, so that each gets its turn although one
// call returns at most n. Upstreams that the configuration drains or that are
// leaving are not among them.
func (d *Directory) RecheckTargets(n int) []Target {
	var targets []Target
	for _, e := range d.index().endpoints {
		// In the parentheses, takesNoNewWork can only mean that the last load report
		// says draining.
		if !e.member.Drain && !e.leaving && (e.takesNoNewWork() || !e.available()) {
			targets = append(targets, e.member)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int {
		return strings.Compare(a.ID.String(), b.ID.String())
	})
	for i := range min(n, len(targets)) {
		j := i + d.draw(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
	}
	return targets[:min(n, len(targets))]
}

// StateOf returns the health state of an upstream. An unknown upstream is Healthy.
func (d *Directory) StateOf(target Target) HealthState {
	e := d.find(target)
	if e == nil {
		return Healthy
	}
	return HealthState(e.healthState.Load())
}

// FinishAttempt records the end of an attempt on an upstream that Pick returned.
func (d *Directory) FinishAttempt(now time.Time, target Target, result entry.AttemptResult) {
	e := d.find(target)
	if e == nil {
		return
	}
	e.inflight.Add(-1)
	if result.Refused {
		e.observeRefusal(now)
	}
}

// index returns the current index, which is empty before the first Update.
func (d *Directory) index() *index {
	current := d.current.Load()
	if current == nil {
		return &index{}
	}
	return current
}

// endpointsOf returns the endpoints of a service. There may be none.
func (d *Directory) endpointsOf(id fleet.ServiceID) *serviceEndpoints {
	endpoints, ok := d.index().services[id]
	if !ok {
		return &serviceEndpoints{}
	}
	return endpoints
}

// find returns the endpoint of an upstream, or nil.
func (d *Directory) find(target Target) *endpoint {
	return d.index().endpoints[target.ID]
}

// sameService returns all endpoints of the service of e, including e.
func (d *Directory) sameService(e *endpoint) []*endpoint {
	endpoints := d.endpointsOf(e.member.ID.ServiceID)
	return slices.Concat(endpoints.local, endpoints.remote)
}

// draw returns a random number in [0, n).
func (d *Directory) draw(n int) int {
	if d.Rand != nil {
		return d.Rand.IntN(n)
	}
	return rand.IntN(n)
}

// prefixMissCost returns the time to compute a prefix that is not in the cache of
// the engine.
func (d *Directory) prefixMissCost() time.Duration {
	if d.PrefixMissCost > 0 {
		return d.PrefixMissCost
	}
	return defaultPrefixMissCost
}

// compareEndpoints orders endpoints by name.
func compareEndpoints(a, b *endpoint) int {
	switch {
	case a.member.ID.Upstream < b.member.ID.Upstream:
		return -1
	case a.member.ID.Upstream > b.member.ID.Upstream:
		return 1
	}
	return 0
}
