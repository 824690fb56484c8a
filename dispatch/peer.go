package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack/exchange"
)

const (
	// loadLife is how long what an upstream said of its load counts, and freshLife
	// how long it counts in full.
	loadLife  = 1500 * time.Millisecond
	freshLife = 900 * time.Millisecond
	// shunTime is how long an upstream is avoided after it could not be
	// reached, doubled with each time in a row up to maxShun.
	shunTime = 400 * time.Millisecond
	maxShun  = 3200 * time.Millisecond
	// fullTime is how long an upstream that refused counts as full.
	fullTime = 100 * time.Millisecond
	// failWeight is the weight of the newest outcome in the share of failures.
	failWeight = 0.1
	// failCost is how much a share of failures of one adds to the load.
	failCost = 12.0
	// paceCost is how much a pace of one more adds to the load. A slow rank with
	// requests of its own slows the whole group.
	paceCost = 12.0
	// silentTime is how long a rank counts as silent after a status without it.
	silentTime = time.Second
	// maxSilentPart is the part of the ranks, one in so many, beyond which silence
	// is taken for a fault of the planner's.
	maxSilentPart = 3
	// slowPace is the pace from which a rank gets nothing, and maxSlowPart the part
	// of the ranks, one in so many, beyond which the slow ones are needed.
	slowPace    = 1.5
	maxSlowPart = 3
	// lateReserve is the part of a rank's slots that late requests leave free.
	lateReserve = 0.15
	// tookWeight is the weight of the newest time in the usual time.
	tookWeight = 0.15
)

// peer is what a Board knows of one upstream.
type peer struct {
	// group is that of a rank; empty if it is not known.
	group GroupName
	slots int
	// running is the number of this process's requests there, and past what it was.
	running int
	past    past
	// others is the number of requests of other processes at told, and own that of
	// this process; room is by how much the latter may have risen.
	others int
	own    int
	room   int
	told   time.Time
	// shunned and full are until when the upstream is avoided.
	shunned time.Time
	full    time.Time
	// strikes counts the times in a row that it could not be reached.
	strikes int
	// failing is the share of recent requests that failed.
	failing float64
	// silent is until when a rank that does not answer the planner gets nothing.
	silent time.Time
	// slow is until when a slow rank gets nothing.
	slow time.Time
	// pace is over one for a slow rank of a group; zero if not known.
	pace float64
	// took is the usual time of a request in seconds; zero if not known.
	took float64
}

// load returns the requests there, as far as known.
func (p *peer) load(now time.Time) float64 {
	load := float64(p.running)
	age := now.Sub(p.told)
	switch {
	case age < freshLife:
		load += float64(p.others)
	case age < loadLife:
		load += float64(p.others) * float64(loadLife-age) / float64(loadLife-freshLife)
	}
	return load
}

// run changes the number of this process's requests there.
func (p *peer) run(change int, now time.Time) {
	p.past.add(now, p.running)
	p.running += change
}

// cost returns what a further request would have to wait, relative to others.
// Times are compared only where upstreams work alone: the ranks of a group all
// take as long as the slowest.
func (p *peer) cost(now time.Time, grouped bool) float64 {
	slots := float64(max(p.slots, 1))
	cost := (p.load(now) + 1 + failCost*p.failing + paceCost*max(0, p.pace-1)) / slots
	if !grouped && p.took > 0 {
		cost *= p.took
	}
	return cost
}

// busy reports whether all slots are taken, as far as known, or all of this
// process's part of those that were free.
func (p *peer) busy(now time.Time) bool {
	if p.slots == 0 {
		return false
	}
	if now.Sub(p.told) < loadLife && p.running-p.own >= p.room {
		return true
	}
	return p.load(now) > float64(p.slots)-1
}

// fit reports whether a rank may get a request, which may be late anyway.
func (p *peer) fit(late bool, now time.Time) bool {
	if late && p.slots > 0 && p.load(now) > max(0, float64(p.slots)*(1-lateReserve)-1) {
		return false
	}
	return !p.busy(now) && !now.Before(p.silent) && !now.Before(p.slow)
}

// avoided reports whether the upstream should not be used now.
func (p *peer) avoided(now time.Time) bool {
	return now.Before(p.shunned) || now.Before(p.full)
}

// tell records what the upstream said of its load at a time, of whose free slots
// this process may take a portion. This process's requests of that time are among
// those, not the present ones.
func (p *peer) tell(load *exchange.Load, at time.Time, of *portions) {
	if load == nil || at.Before(p.told) {
		return
	}
	all := load.Running + load.Waiting
	p.own = p.past.at(at, p.running)
	p.others = max(0, all-p.own)
	p.room = of.next(p.slots - all)
	p.told = at
}

// strike records that the upstream could not be reached.
func (p *peer) strike(now time.Time) {
	p.shunned = now.Add(min(shunTime<<min(p.strikes, 10), maxShun))
	p.strikes++
}

// outcome records whether a request failed and how long one that did not took.
func (p *peer) outcome(failed bool, took time.Duration) {
	x := 0.0
	if failed {
		x = 1
	}
	p.failing += failWeight * (x - p.failing)
	if failed || took <= 0 {
		return
	}
	if p.took == 0 {
		p.took = took.Seconds()
		return
	}
	p.took += tookWeight * (took.Seconds() - p.took)
}
