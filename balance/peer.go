package balance

import (
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/zeebo/xxh3"
)

const (
	// defaultService is the service time of an upstream that has not yet ended a call.
	defaultService = time.Second
	// trickleInterval is the time between two calls to an upstream on trial.
	trickleInterval = time.Second
	// refusalPenalty is the least wait expected after a refusal.
	refusalPenalty = 500 * time.Millisecond
)

// sighting is the load that a probe saw.
type sighting struct {
	load upstream.Load
	at   time.Time
	// inflight is the number of calls that this entry had there.
	inflight int64
	// held are the prefixes that the engine probably holds.
	held upstream.PrefixSet
	// way is the time of the way there and back.
	way time.Duration
	// least is the least wait to expect, after a refusal.
	least time.Duration
}

// peer is one upstream as one entry sees it. It does not change, but for its
// track, which it shares with the peers that replace it.
type peer struct {
	*track
	member fleet.Member
	hash   uint64
	// leaving is set if the list of instances says that the upstream leaves.
	leaving bool
}

// track is what an entry has seen of one upstream. The owner of the Directory
// alone uses health; the rest is safe for concurrent use.
type track struct {
	inflight atomic.Int64
	seen     atomic.Pointer[sighting]
	// silent is set while the upstream answers no probes.
	silent atomic.Bool
	state  atomic.Uint32
	// trickle is the time of the next call on trial in nanoseconds.
	trickle atomic.Int64

	health health
}

// newPeer returns the peer of an upstream.
func newPeer(member fleet.Member, leaving bool, seen *track) *peer {
	return &peer{
		track:   seen,
		member:  member,
		hash:    xxh3.HashString(member.ID.String()),
		leaving: leaving,
	}
}

// closed reports whether the upstream takes no new work.
func (p *peer) closed() bool {
	if p.member.Drain || p.leaving {
		return true
	}
	seen := p.seen.Load()
	return seen != nil && seen.load.Draining
}

// sound reports whether the upstream may get work without a trial.
func (p *peer) sound() bool {
	return !p.silent.Load() && HealthState(p.state.Load()) == Healthy
}

// onTrial reports whether the upstream is to get a call on trial now, and if so
// puts the next one off.
func (p *peer) onTrial(now time.Time) bool {
	if HealthState(p.state.Load()) != HalfOpen || p.silent.Load() {
		return false
	}
	next := p.trickle.Load()
	return now.UnixNano() >= next && p.trickle.CompareAndSwap(next, now.Add(trickleInterval).UnixNano())
}

// saw keeps the load that a probe saw.
func (p *peer) saw(now time.Time, seen upstream.Sighting, way time.Duration) {
	p.silent.Store(false)
	p.seen.Store(&sighting{
		load:     seen.Load,
		held:     seen.Held,
		at:       now,
		inflight: p.inflight.Load(),
		way:      way,
	})
}

// refused corrects the load after the upstream has refused a call.
func (p *peer) refused(now time.Time) {
	next := sighting{inflight: p.inflight.Load()}
	if seen := p.seen.Load(); seen != nil {
		next.load = seen.load
		next.way = seen.way
		next.held = seen.held
	}
	next.at = now
	next.load.Running = max(next.load.Running, next.load.Slots)
	next.least = max(refusalPenalty, next.load.Wait)
	p.seen.Store(&next)
}

// wait returns the expected wait of a call, and false if no probe has seen the
// upstream. What this entry has sent or got back since then corrects the load.
func (p *peer) wait() (time.Duration, bool) {
	seen := p.seen.Load()
	if seen == nil {
		return 0, false
	}
	n := int64(seen.load.Running+seen.load.Queued) + p.inflight.Load() - seen.inflight
	excess := n - int64(seen.load.Slots)
	if excess < 0 {
		return seen.least, true
	}
	service := seen.load.Service
	if service == 0 {
		service = defaultService
	}
	wait := service * time.Duration(excess+1) / time.Duration(max(seen.load.Slots, 1))
	return max(wait, seen.least), true
}

// holds reports whether a probe saw that the engine probably holds a prefix.
func (p *peer) holds(prefix upstream.Prefix) bool {
	seen := p.seen.Load()
	return seen != nil && seen.held.Has(prefix)
}

// service returns the service time that a probe saw, or zero if it is unknown.
func (p *peer) service() time.Duration {
	seen := p.seen.Load()
	if seen == nil {
		return 0
	}
	return seen.load.Service
}

// age returns the time since a probe saw the upstream.
func (p *peer) age(now time.Time) (time.Duration, bool) {
	seen := p.seen.Load()
	if seen == nil {
		return 0, false
	}
	return now.Sub(seen.at), true
}
