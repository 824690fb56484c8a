package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack/route"
)

// maxDraws is the number of ranks of which the cheapest is taken.
const maxDraws = 2

// pick returns a ticket for the cheapest upstream that the request may go to. If
// there is none it returns nil, and how long gates keep the request from some.
//
// Those that are avoided come last. Ranks whose slots are all taken get nothing,
// since what waits there makes all late that comes after it, and those that are slow
// or do not answer the planner get nothing either. Of the ranks of a group only a few
// are drawn by chance: all entries are told the same loads at the same time, and
// would all send to the ranks with the least. A late request leaves some slots free for
// those that can be on time. The caller holds mu.
func (b *Scheduler) pick(ask *Request, late bool, now time.Time) (*Reservation, time.Duration) {
	q := b.queue(ask.Service)
	shut := time.Duration(0)
	var best *route.Upstream
	var bestPeer *peer
	bestAvoided := true
	bestCost := 0.0
	ready := b.Fleet().Ready(ask.Service)
	draws := 0
	order := newWalk(len(ready))
	for range ready {
		u := &ready[order.next()]
		if !ask.allows(u.Name) {
			continue
		}
		p := b.peer(u.Name)
		p.slots = u.Slots
		if ask.Grouped && !p.fit(late, now) {
			continue
		}
		_, wait := q.gate(p.group).check(now)
		if wait > 0 {
			shut = wait
			continue
		}
		avoided := p.avoided(now)
		if ask.Grouped && !avoided {
			draws++
		}
		if draws > maxDraws {
			break
		}
		cost := p.cost(now, ask.Grouped)
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && cost < bestCost {
			best, bestPeer, bestAvoided, bestCost = u, p, avoided, cost
		}
	}
	if best == nil {
		return nil, shut
	}
	bestPeer.run(1, now)
	t := &Reservation{
		Upstream: *best,
		board:    b,
		service:  ask.Service,
		gate:     q.gate(bestPeer.group),
	}
	t.probe, _ = t.gate.check(now)
	if t.probe {
		t.gate.probed = now
	}
	return t, 0
}
