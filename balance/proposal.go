package balance

import (
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	// maxAge is the age up to which a sighting is used without a new probe.
	maxAge = 300 * time.Millisecond
	// enough is the number of fresh candidates that a choice needs.
	enough = 2
	// calm is the share of busy slots up to which a miss costs only its own call,
	// and maxPressure is what it costs more once all are busy.
	calm        = 0.9
	maxPressure = 6
)

// CandidateSet holds the candidates for one attempt, those decided by the prefix
// first.
type CandidateSet struct {
	directory *Directory
	prefix    upstream.Prefix
	peers     []*peer
	// homes is the number of candidates that the prefix decides.
	homes int
}

// Candidates returns the candidates for an attempt. It is empty if no upstream of
// the service takes new work.
func (d *Directory) Candidates(now time.Time, q entry.Query) CandidateSet {
	g := d.service(q.Service)
	proposal := CandidateSet{
		directory: d,
		prefix:    upstream.PrefixOf(q.Prompt),
	}
	if len(q.Tried) == 0 {
		if p := trial(now, g); p != nil {
			proposal.peers = []*peer{p}
			proposal.homes = 1
			return proposal
		}
	}
	sound := func(p *peer) bool {
		return !p.closed() && p.sound() && !slices.Contains(q.Tried, p.member.ID.Upstream)
	}
	proposal.addHomes(g.local, sound)
	proposal.addHolders(g.local, sound)
	proposal.addHolders(g.remote, sound)
	proposal.addStrangers(g.local, strangers, sound)
	more := 1
	if len(proposal.peers) == 0 {
		more = homes + strangers
	}
	proposal.addStrangers(g.remote, more, sound)
	if len(proposal.peers) == 0 {
		proposal.addAny(g, q.Tried)
	}
	return proposal
}

// trial returns an upstream that is to get a call on trial now, or nil.
func trial(now time.Time, g *group) *peer {
	for _, p := range g.local {
		if !p.closed() && p.onTrial(now) {
			return p
		}
	}
	for _, p := range g.remote {
		if !p.closed() && p.onTrial(now) {
			return p
		}
	}
	return nil
}

// addHomes adds the upstreams that rank first for the prefix.
func (o *CandidateSet) addHomes(peers []*peer, fits func(*peer) bool) {
	var first, second *peer
	var firstRank, secondRank uint64
	for _, p := range peers {
		if !fits(p) {
			continue
		}
		rank := weigh(o.prefix, p.hash)
		switch {
		case first == nil || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = p, rank
		case second == nil || rank > secondRank:
			second, secondRank = p, rank
		}
	}
	for _, p := range []*peer{first, second} {
		if p != nil {
			o.peers = append(o.peers, p)
		}
	}
	o.homes = len(o.peers)
}

// addHolders adds the upstream of least wait among those that hold the prefix.
func (o *CandidateSet) addHolders(peers []*peer, fits func(*peer) bool) {
	var best *peer
	var least time.Duration
	for _, p := range peers {
		if !p.holds(o.prefix) || !fits(p) || slices.Contains(o.peers, p) {
			continue
		}
		if wait, _ := p.wait(); best == nil || wait < least {
			best, least = p, wait
		}
	}
	if best != nil {
		o.peers = append(o.peers, best)
	}
}

// addStrangers adds at most n random upstreams.
func (o *CandidateSet) addStrangers(peers []*peer, n int, fits func(*peer) bool) {
	if len(peers) == 0 {
		return
	}
	for range n * draws {
		if n == 0 {
			return
		}
		p := peers[o.directory.draw(len(peers))]
		if fits(p) && !slices.Contains(o.peers, p) {
			o.peers = append(o.peers, p)
			n--
		}
	}
}

// addAny adds upstreams that take new work though they are not sound, untried
// ones if there are any.
func (o *CandidateSet) addAny(g *group, tried []foxtailstack.UpstreamName) {
	var used []*peer
	for _, p := range slices.Concat(g.local, g.remote) {
		switch {
		case p.closed():
		case slices.Contains(tried, p.member.ID.Upstream):
			used = append(used, p)
		default:
			o.peers = append(o.peers, p)
		}
	}
	if len(o.peers) == 0 {
		o.peers = used
	}
	if len(o.peers) > 0 {
		at := o.directory.draw(len(o.peers))
		o.peers = append(o.peers[at:], o.peers[:at]...)
		o.peers = o.peers[:min(len(o.peers), homes+strangers)]
	}
}

// ProbeTargets returns the candidates that are to be probed, since no probe has seen
// them lately: those whose answers the attempt waits for, which are the homes and
// as many others as make enough, and the rest.
func (o CandidateSet) ProbeTargets(now time.Time) (awaited, rest []Target) {
	var others []Target
	for i, p := range o.peers {
		age, known := p.age(now)
		switch {
		case known && age <= maxAge:
		case i < o.homes:
			awaited = append(awaited, p.member)
		default:
			others = append(others, p.member)
		}
	}
	fresh := len(o.peers) - len(awaited) - len(others)
	more := max(0, min(enough-fresh-len(awaited), len(others)))
	return append(awaited, others[:more]...), others[more:]
}

// Pick returns the upstream for the attempt, which counts as in flight until
// Done is called. It returns false if there are no candidates.
func (o CandidateSet) Pick(now time.Time) (Target, bool) {
	if len(o.peers) == 0 {
		return Target{}, false
	}
	var balancer foxtailstack.Balancer = Cheapest{}
	if o.directory.Balancer != nil {
		balancer = o.directory.Balancer
	}
	p := o.peers[balancer.Pick(o.candidates(now))]
	p.inflight.Add(1)
	return p.member, true
}

// candidates returns what is known of each candidate.
func (o CandidateSet) candidates(now time.Time) []foxtailstack.Candidate {
	candidates := make([]foxtailstack.Candidate, 0, len(o.peers))
	for i, p := range o.peers {
		wait, known := p.wait()
		age, _ := p.age(now)
		candidates = append(candidates, foxtailstack.Candidate{
			Name:     p.member.ID.Upstream,
			Address:  p.member.Address,
			Centre:   p.member.Centre,
			Wait:     wait,
			Known:    known,
			Age:      age,
			Distance: o.directory.distance(p),
			Miss:     time.Duration(float64(o.missAt(i)) * o.slowness(p) * o.pressure()),
		})
	}
	return candidates
}

// missAt returns the expected time lost at the candidate of a rank. The home is
// taken to hold a prefix that nobody has been seen to hold.
func (o CandidateSet) missAt(rank int) time.Duration {
	switch {
	case o.peers[rank].holds(o.prefix):
		return 0
	case rank >= o.homes:
		return o.directory.miss()
	case rank == 0:
		return o.directory.miss() / 4
	}
	return o.directory.miss() / 2
}

// pressure returns how much a miss costs against one on idle upstreams. A miss
// holds a slot for longer, which all calls behind it pay for once slots run out.
func (o CandidateSet) pressure() float64 {
	busy, slots := 0.0, 0.0
	for _, p := range o.peers {
		if seen := p.seen.Load(); seen != nil {
			busy += float64(min(seen.load.Running, seen.load.Slots))
			slots += float64(seen.load.Slots)
		}
	}
	if slots == 0 {
		return 1
	}
	return 1 + maxPressure*max(0, busy/slots-calm)/(1-calm)
}

// slowness returns the service time of an upstream against the shortest among
// the candidates.
func (o CandidateSet) slowness(p *peer) float64 {
	own := p.service()
	least := own
	for _, other := range o.peers {
		if service := other.service(); service > 0 {
			least = min(least, service)
		}
	}
	if least == 0 {
		return 1
	}
	return float64(own) / float64(least)
}

// distance returns the time of the way to an upstream and back.
func (d *Directory) distance(p *peer) time.Duration {
	if p.member.Centre == d.Centre {
		return 0
	}
	if seen := p.seen.Load(); seen != nil && seen.way > 0 {
		return seen.way
	}
	return defaultWay
}
