package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
)

// GroupName names a group of ranks behind a service.
type GroupName string

// RankLoad is what is known of one rank of a group.
type RankLoad struct {
	Load exchange.Load
	// Slowdown is over one if the rank is slow.
	Slowdown float64
}

// slow reports whether requests of the rank's own would slow the group down.
func (r RankLoad) slow() bool {
	return r.Slowdown >= slowPace
}

// countSlow returns the number of slow ranks.
func countSlow(ranks map[foxtailstack.Address]RankLoad) int {
	n := 0
	for _, rank := range ranks {
		if rank.slow() {
			n++
		}
	}
	return n
}

// ObserveGroup records the load of the ranks of a group behind a service, by address,
// as it was some time ago.
func (b *Scheduler) ObserveGroup(
	service foxtailstack.ServiceName,
	group GroupName,
	ranks map[foxtailstack.Address]RankLoad,
	age time.Duration,
) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	at := now.Add(-age)
	ready := b.Fleet().Ready(service)
	silent := b.silentRanks(ready, group, ranks)
	few := len(silent) <= len(ready)/maxSilentPart
	stake := b.queue(service).stake(group)
	stake.learn(b.count(ready, ranks, at))
	fewSlow := countSlow(ranks) <= len(ranks)/maxSlowPart
	of := newPortions(stake.share())
	order := newWalk(len(ready))
	for range ready {
		u := ready[order.next()]
		p := b.peer(u.Name)
		rank, ok := ranks[u.Address]
		if !ok {
			if few && silent[u.Name] {
				b.setSilent(&u, now.Add(silentTime), age)
			}
			continue
		}
		p.group = group
		p.pace = rank.Slowdown
		b.setSilent(&u, time.Time{}, age)
		slow := time.Time{}
		if fewSlow && rank.slow() {
			slow = now.Add(loadLife)
		}
		b.setSlow(&u, slow, age)
		p.slots = u.Slots
		p.tell(&rank.Load, at, of)
	}
}

// count returns how many requests of this process the ranks had at a time, and how
// many in all. The caller holds mu.
func (b *Scheduler) count(
	ready []route.Upstream,
	ranks map[foxtailstack.Address]RankLoad,
	at time.Time,
) (own, all int) {
	for _, u := range ready {
		rank, ok := ranks[u.Address]
		if !ok {
			continue
		}
		p := b.peer(u.Name)
		own += p.past.at(at, p.running)
		all += rank.Load.Running + rank.Load.Waiting
	}
	return own, all
}

// silentRanks returns the upstreams of a group that have not said anything. If no
// other group is known, those whose group is not known are taken for its ranks. The
// caller holds mu.
func (b *Scheduler) silentRanks(
	ready []route.Upstream,
	group GroupName,
	ranks map[foxtailstack.Address]RankLoad,
) map[foxtailstack.UpstreamName]bool {
	silent := make(map[foxtailstack.UpstreamName]bool)
	alone := true
	for _, u := range ready {
		known := b.peer(u.Name).group
		alone = alone && (known == "" || known == group)
	}
	for _, u := range ready {
		_, ok := ranks[u.Address]
		known := b.peer(u.Name).group
		if !ok && (known == group || known == "" && alone) {
			silent[u.Name] = true
		}
	}
	return silent
}

// Silent reports whether a rank is believed not to answer.
func (b *Scheduler) Silent(name foxtailstack.UpstreamName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.peer(name).silent)
}

// Slow reports whether a rank is so slow that it gets nothing.
func (b *Scheduler) Slow(name foxtailstack.UpstreamName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.peer(name).slow)
}

// ObserveEventGap records the pause between the last two events of a stream of a group.
func (b *Scheduler) ObserveEventGap(service foxtailstack.ServiceName, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue(service).pulse.add(time.Now(), pause)
}

// PassCount returns how many passes of the groups behind a service this process has
// noticed so far by the events of its streams.
func (b *Scheduler) PassCount(service foxtailstack.ServiceName) PassCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue(service).pulse.passes
}

// PassTime returns the time of a pass of the group behind a service, or zero if that
// is not known.
func (b *Scheduler) PassTime(service foxtailstack.ServiceName) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue(service).pulse.pass(time.Now())
}
