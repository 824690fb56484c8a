package balance

import (
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	// maxAgeWithoutProbe is the age up to which an observed load is used without
	// a new probe.
	maxAgeWithoutProbe = 300 * time.Millisecond
	// minFreshCandidates is the number of candidates with a load no older than
	// maxAgeWithoutProbe below which an attempt waits for probes, for at most
	// maxProbeWait.
	minFreshCandidates = 2
	// busyThreshold is the fraction of busy slots up to which a prefix miss
	// delays only its own call. From there to all slots busy the cost of a miss
	// grows linearly from its idle cost to 1 + maxMissCostIncrease times that
	// cost.
	busyThreshold       = 0.9
	maxMissCostIncrease = 6
)

// CandidateSet holds the candidates for one attempt, affinity candidates first.
type CandidateSet struct {
	directory *Directory
	prefix    upstream.Prefix
	endpoints []*endpoint
	// affinityCount is the number of leading endpoints that are treated as
	// affinity candidates: an attempt waits for their load and their miss cost
	// is reduced. An endpoint that gets a trial call is treated as one.
	affinityCount int
}

// Candidates returns the candidates for an attempt. The set is empty if no
// upstream of the service takes new work. If no available upstream outside q.Avoid
// is selected, the set holds upstreams that take new work whether available or not,
// and ones in q.Avoid only if there are no others. This also happens if the only
// available upstreams are remote and the random draws miss them. If q.Avoid is empty,
// an upstream that is due for a trial call is the only candidate. Candidates claims
// this trial call, which is lost if Pick is not called.
func (d *Directory) Candidates(now time.Time, q entry.Query) CandidateSet {
	endpoints := d.endpointsOf(q.Service)
	candidates := CandidateSet{
		directory: d,
		prefix:    upstream.PrefixOf(q.Prompt),
	}
	if len(q.Avoid) == 0 {
		if e := trialEndpoint(now, endpoints); e != nil {
			candidates.endpoints = []*endpoint{e}
			candidates.affinityCount = 1
			return candidates
		}
	}
	eligible := func(e *endpoint) bool {
		return !e.takesNoNewWork() && e.available() && !slices.Contains(q.Avoid, e.member.ID.Upstream)
	}
	candidates.addAffinityCandidates(endpoints.local, eligible)
	candidates.addPrefixHolder(endpoints.local, eligible)
	candidates.addPrefixHolder(endpoints.remote, eligible)
	candidates.addRandomCandidates(endpoints.local, numRandomCandidates, eligible)
	remoteCandidates := 1
	if len(candidates.endpoints) == 0 {
		remoteCandidates = numAffinityCandidates + numRandomCandidates
	}
	candidates.addRandomCandidates(endpoints.remote, remoteCandidates, eligible)
	if len(candidates.endpoints) == 0 {
		candidates.addUnavailable(endpoints, q.Avoid)
	}
	return candidates
}

// trialEndpoint claims the trial call of an endpoint that is due for one. It
// returns nil if none is due.
func trialEndpoint(now time.Time, endpoints *serviceEndpoints) *endpoint {
	for _, e := range endpoints.local {
		if !e.takesNoNewWork() && e.claimTrial(now) {
			return e
		}
	}
	for _, e := range endpoints.remote {
		if !e.takesNoNewWork() && e.claimTrial(now) {
			return e
		}
	}
	return nil
}

// addAffinityCandidates adds the two eligible endpoints with the highest
// rendezvous hashing scores for the prefix, as many as numAffinityCandidates.
func (s *CandidateSet) addAffinityCandidates(endpoints []*endpoint, eligible func(*endpoint) bool) {
	var first, second *endpoint
	var firstScore, secondScore uint64
	for _, e := range endpoints {
		if !eligible(e) {
			continue
		}
		score := rendezvousScore(s.prefix, e.hash)
		switch {
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = e, score
		case second == nil || score > secondScore:
			second, secondScore = e, score
		}
	}
	for _, e := range []*endpoint{first, second} {
		if e != nil {
			s.endpoints = append(s.endpoints, e)
		}
	}
	s.affinityCount = len(s.endpoints)
}

// addPrefixHolder adds the endpoint with the shortest expected wait of the eligible
// ones that have the prefix in their cache and are not yet candidates.
func (s *CandidateSet) addPrefixHolder(endpoints []*endpoint, eligible func(*endpoint) bool) {
	var best *endpoint
	var minWait time.Duration
	for _, e := range endpoints {
		if !e.holdsPrefix(s.prefix) || !eligible(e) || slices.Contains(s.endpoints, e) {
			continue
		}
		if wait, _ := e.expectedWait(); best == nil || wait < minWait {
			best, minWait = e, wait
		}
	}
	if best != nil {
		s.endpoints = append(s.endpoints, best)
	}
}

// addRandomCandidates adds at most n random eligible endpoints.
func (s *CandidateSet) addRandomCandidates(endpoints []*endpoint, n int, eligible func(*endpoint) bool) {
	if len(endpoints) == 0 {
		return
	}
	for range n * drawsPerCandidate {
		if n == 0 {
			return
		}
		e := endpoints[s.directory.draw(len(endpoints))]
		if eligible(e) && !slices.Contains(s.endpoints, e) {
			s.endpoints = append(s.endpoints, e)
			n--
		}
	}
}

// addUnavailable adds endpoints that take new work, although they may be ejected or
// answer no probes. It adds endpoints to avoid only if there are no others. It keeps
// at most numAffinityCandidates + numRandomCandidates of them, from a random
// position on.
func (s *CandidateSet) addUnavailable(endpoints *serviceEndpoints, avoid []foxtailstack.UpstreamName) {
	var avoided []*endpoint
	for _, e := range slices.Concat(endpoints.local, endpoints.remote) {
		switch {
		case e.takesNoNewWork():
		case slices.Contains(avoid, e.member.ID.Upstream):
			avoided = append(avoided, e)
		default:
			s.endpoints = append(s.endpoints, e)
		}
	}
	if len(s.endpoints) == 0 {
		s.endpoints = avoided
	}
	if len(s.endpoints) > 0 {
		offset := s.directory.draw(len(s.endpoints))
		s.endpoints = append(s.endpoints[offset:], s.endpoints[:offset]...)
		s.endpoints = s.endpoints[:min(len(s.endpoints), numAffinityCandidates+numRandomCandidates)]
	}
}

// ProbeTargets returns the candidates whose load is unknown or older than
// maxAgeWithoutProbe. The attempt waits for the probes of the awaited ones: all
// such affinity candidates, and as many others as it takes to reach
// minFreshCandidates. It does not wait for the background ones.
func (s CandidateSet) ProbeTargets(now time.Time) (awaited, background []Target) {
	var others []Target
	for i, e := range s.endpoints {
		age, observed := e.observationAge(now)
		switch {
		case observed && age <= maxAgeWithoutProbe:
		case i < s.affinityCount:
			awaited = append(awaited, e.member)
		default:
			others = append(others, e.member)
		}
	}
	fresh := len(s.endpoints) - len(awaited) - len(others)
	awaitedOthers := max(0, min(minFreshCandidates-fresh-len(awaited), len(others)))
	return append(awaited, others[:awaitedOthers]...), others[awaitedOthers:]
}

// Pick returns the upstream for the attempt, or false if there are no candidates.
// The attempt counts as in flight until FinishAttempt is called.
func (s CandidateSet) Pick(now time.Time) (Target, bool) {
	if len(s.endpoints) == 0 {
		return Target{}, false
	}
	var balancer foxtailstack.Balancer = Cheapest{}
	if s.directory.Balancer != nil {
		balancer = s.directory.Balancer
	}
	e := s.endpoints[balancer.Pick(s.balancerCandidates(now))]
	e.inflight.Add(1)
	return e.member, true
}

// balancerCandidates returns the expected wait and costs of each candidate for the
// Balancer.
func (s CandidateSet) balancerCandidates(now time.Time) []foxtailstack.Candidate {
	candidates := make([]foxtailstack.Candidate, 0, len(s.endpoints))
	for i, e := range s.endpoints {
		wait, known := e.expectedWait()
		age, _ := e.observationAge(now)
		candidates = append(candidates, foxtailstack.Candidate{
			Name:           e.member.ID.Upstream,
			Address:        e.member.Address,
			Centre:         e.member.Centre,
			Wait:           wait,
			WaitKnown:      known,
			WaitAge:        age,
			RoundTripTime:  s.directory.roundTripTime(e),
			PrefixMissCost: time.Duration(float64(s.missCostAt(i)) * s.relativeServiceTime(e) * s.missCostFactor()),
		})
	}
	return candidates
}

// missCostAt returns the expected time to compute the prefix at candidate i. An
// affinity candidate is likely to have the prefix even if its last report lacks it,
// and therefore costs only a fraction: a quarter for the first and half for the
// second. The first is likelier to have it, because it gets the call if waits are
// equal.
func (s CandidateSet) missCostAt(i int) time.Duration {
	switch {
	case s.endpoints[i].holdsPrefix(s.prefix):
		return 0
	case i >= s.affinityCount:
		return s.directory.prefixMissCost()
	case i == 0:
		return s.directory.prefixMissCost() / 4
	}
	return s.directory.prefixMissCost() / 2
}

// missCostFactor returns the cost of a prefix miss as a multiple of its cost on
// idle upstreams. A miss occupies its slot for longer, which delays all calls in
// the queue once no slots are free.
func (s CandidateSet) missCostFactor() float64 {
	busy, slots := 0.0, 0.0
	for _, e := range s.endpoints {
		if observed := e.observed.Load(); observed != nil {
			busy += float64(min(observed.load.Running, observed.load.Slots))
			slots += float64(observed.load.Slots)
		}
	}
	if slots == 0 {
		return 1
	}
	return 1 + maxMissCostIncrease*max(0, busy/slots-busyThreshold)/(1-busyThreshold)
}

// relativeServiceTime returns the ratio of the service time of an endpoint to the
// shortest known service time among the candidates. It is 1 if the service time of
// the endpoint is unknown.
func (s CandidateSet) relativeServiceTime(e *endpoint) float64 {
	own := e.serviceTime()
	shortest := own
	for _, other := range s.endpoints {
		if service := other.serviceTime(); service > 0 {
			shortest = min(shortest, service)
		}
	}
	if shortest == 0 {
		return 1
	}
	return float64(own) / float64(shortest)
}

// roundTripTime returns the round-trip time to an endpoint. It is zero within the
// data centre of the entry.
func (d *Directory) roundTripTime(e *endpoint) time.Duration {
	if e.member.Centre == d.Centre {
		return 0
	}
	if observed := e.observed.Load(); observed != nil && observed.roundTrip > 0 {
		return observed.roundTrip
	}
	return defaultRoundTrip
}
