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
	// homes is the number of candidates that the prefix decides.
	homes = 2
	// strangers is the number of random candidates in the data centre of the entry.
	strangers = 2
	// draws is the number of random draws for each such candidate.
	draws = 4
	// defaultMiss is the time to compute a prefix that is not held.
	defaultMiss = 200 * time.Millisecond
	// defaultWay is the time of the way to another data centre and back, for one
	// that no probe has measured.
	defaultWay = 3 * time.Millisecond
)

// Target is an upstream with what locates it.
type Target = fleet.Member

// group holds the upstreams of one service.
type group struct {
	local  []*peer
	remote []*peer
}

// index holds all upstreams. It does not change.
type index struct {
	revision foxtailstack.Revision
	groups   map[fleet.ServiceID]*group
	peers    map[fleet.UpstreamID]*peer
}

// Directory is what one entry knows of the upstreams. One goroutine owns it and
// calls Update, Saw, Silent, Judge and Tick; the other methods are safe for
// concurrent use with them. The zero value knows no upstreams.
type Directory struct {
	// Centre is the data centre of the entry.
	Centre foxtailstack.DataCentre
	// Balancer picks among the candidates; nil means Cheapest.
	Balancer foxtailstack.Balancer
	// MissCost is the time to compute a prefix that is not held; zero means 200 ms.
	MissCost time.Duration
	// Rand draws candidates; nil means the global source.
	Rand *rand.Rand

	current atomic.Pointer[index]
	machine *stateless.StateMachine
	subject *peer
}

// Update takes a configuration and the addresses of the instances that leave.
func (d *Directory) Update(snapshot *fleet.Snapshot, leaving map[foxtailstack.Address]bool) {
	old := d.index()
	next := &index{
		revision: snapshot.Revision,
		groups:   map[fleet.ServiceID]*group{},
		peers:    map[fleet.UpstreamID]*peer{},
	}
	for service, members := range snapshot.Upstreams {
		g := &group{}
		for _, member := range members {
			p := old.renew(member, leaving[member.Address])
			next.peers[member.ID] = p
			if member.Centre == d.Centre {
				g.local = append(g.local, p)
			} else {
				g.remote = append(g.remote, p)
			}
		}
		slices.SortFunc(g.local, comparePeers)
		slices.SortFunc(g.remote, comparePeers)
		next.groups[service] = g
	}
	d.current.Store(next)
}

// Revision returns the revision of the configuration last taken.
func (d *Directory) Revision() foxtailstack.Revision {
	return d.index().revision
}

// renew returns the peer of a member, with what is known of it if the upstream
// is still the same one.
func (x *index) renew(member fleet.Member, leaving bool) *peer {
	old, ok := x.peers[member.ID]
	if !ok {
		return newPeer(member, leaving, &track{})
	}
	if old.member == member && old.leaving == leaving {
		return old
	}
	if old.member.Address != member.Address {
		old.seen.Store(nil)
		old.silent.Store(false)
		old.state.Store(uint32(Healthy))
		old.health = health{}
	}
	return newPeer(member, leaving, old.track)
}

// RecordLoad keeps what a probe of an upstream saw, and the time it took.
func (d *Directory) RecordLoad(now time.Time, id Target, seen upstream.Sighting, way time.Duration) {
	if p := d.find(id); p != nil {
		p.saw(now, seen, way)
	}
}

// RecordProbeFailure notes that an upstream did not answer a probe.
func (d *Directory) RecordProbeFailure(id Target) {
	if p := d.find(id); p != nil {
		p.silent.Store(true)
	}
}

// RecheckTargets returns at most n upstreams that get no work now though they are to
// have some, so that probes may find them sound again.
func (d *Directory) RecheckTargets(n int) []Target {
	var suspects []Target
	for _, p := range d.index().peers {
		if !p.member.Drain && !p.leaving && (p.closed() || !p.sound()) {
			suspects = append(suspects, p.member)
		}
	}
	slices.SortFunc(suspects, func(a, b Target) int {
		return strings.Compare(a.ID.String(), b.ID.String())
	})
	for i := range min(n, len(suspects)) {
		j := i + d.draw(len(suspects)-i)
		suspects[i], suspects[j] = suspects[j], suspects[i]
	}
	return suspects[:min(n, len(suspects))]
}

// StateOf returns the state of an upstream.
func (d *Directory) StateOf(id Target) HealthState {
	p := d.find(id)
	if p == nil {
		return Healthy
	}
	return HealthState(p.state.Load())
}

// FinishAttempt notes the end of an attempt that Pick let begin.
func (d *Directory) FinishAttempt(now time.Time, id Target, result entry.AttemptResult) {
	p := d.find(id)
	if p == nil {
		return
	}
	p.inflight.Add(-1)
	if result.Refused {
		p.refused(now)
	}
}

// index returns the present index.
func (d *Directory) index() *index {
	current := d.current.Load()
	if current == nil {
		return &index{}
	}
	return current
}

// service returns the group of a service, which may be empty.
func (d *Directory) service(id fleet.ServiceID) *group {
	g, ok := d.index().groups[id]
	if !ok {
		return &group{}
	}
	return g
}

// find returns the peer of an upstream, or nil.
func (d *Directory) find(id Target) *peer {
	return d.index().peers[id.ID]
}

// group returns all upstreams of the service of p.
func (d *Directory) group(p *peer) []*peer {
	g := d.service(p.member.ID.ServiceID)
	return slices.Concat(g.local, g.remote)
}

// draw returns a random number below n.
func (d *Directory) draw(n int) int {
	if d.Rand != nil {
		return d.Rand.IntN(n)
	}
	return rand.IntN(n)
}

// miss returns the time to compute a prefix that is not held.
func (d *Directory) miss() time.Duration {
	if d.MissCost > 0 {
		return d.MissCost
	}
	return defaultMiss
}

// comparePeers orders peers by name.
func comparePeers(a, b *peer) int {
	switch {
	case a.member.ID.Upstream < b.member.ID.Upstream:
		return -1
	case a.member.ID.Upstream > b.member.ID.Upstream:
		return 1
	}
	return 0
}
