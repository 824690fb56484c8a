package measure

import (
	"errors"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/balance"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	// reportPeriod and reportLag are those of the workers' load reports.
	reportPeriod = time.Second
	reportLag    = 500 * time.Millisecond
	// probeLost is the time after which a probe counts as unanswered.
	probeLost = 500 * time.Millisecond
	// probeWait is the time that a request waits for probes at most.
	probeWait = 20 * time.Millisecond
	// suspects is the number of upstreams without work probed each second.
	suspects = 4
)

// newRoutePolicy returns the policy of a name at an entry.
func newRoutePolicy(name string, r *route, entryAt int) routePolicy {
	switch name {
	case "roundrobin":
		return &roundRobin{
			route: r,
			next:  entryAt,
		}
	case "leastreported", "random2":
		p := &reported{
			route: r,
			two:   name == "random2",
			loads: make([]int, len(r.workers)),
		}
		r.every(reportPeriod, p.report)
		return p
	case "affinity":
		return newOurs(r, entryAt, &balance.Directory{Balancer: firstOnly{}})
	case "oracle", "clairvoyant":
		return &oracle{
			route: r,
			entry: entryAt,
			exact: name == "clairvoyant",
		}
	}
	return newOurs(r, entryAt, &balance.Directory{})
}

// firstOnly is the Balancer of pure affinity.
type firstOnly struct{}

// Pick returns the home.
func (firstOnly) Pick([]foxtailstack.Candidate) int { return 0 }

// roundRobin takes the workers in turn.
type roundRobin struct {
	route *route
	next  int
}

func (p *roundRobin) choose(_ *routeRequest, begin func(*worker)) {
	p.next++
	begin(p.route.workers[p.next%len(p.route.workers)])
}

func (p *roundRobin) ended(*worker, error, time.Duration) {}

// reported picks the least loaded by reports that lag, among all workers or
// two random ones.
type reported struct {
	route *route
	two   bool
	loads []int
}

// report takes the loads of now into account later.
func (p *reported) report() {
	loads := make([]int, len(p.route.workers))
	for n, w := range p.route.workers {
		load := w.queue.Load()
		loads[n] = load.Running + load.Queued
		if w.dead {
			loads[n] = 1 << 20
		}
	}
	p.route.in(reportLag, func() { p.loads = loads })
}

func (p *reported) choose(r *routeRequest, begin func(*worker)) {
	order := p.route.random.Perm(len(p.route.workers))
	if p.two {
		order = order[:2]
	}
	best := -1
	for _, n := range order {
		if slices.Contains(r.tried, p.route.workers[n]) {
			continue
		}
		if best < 0 || p.loads[n] < p.loads[best] {
			best = n
		}
	}
	if best < 0 {
		best = order[0]
	}
	begin(p.route.workers[best])
}

func (p *reported) ended(*worker, error, time.Duration) {}

// oracle knows every queue, cache and speed at this moment; an exact one also
// knows the lengths of all calls, which nobody can.
type oracle struct {
	route *route
	entry int
	exact bool
}

func (p *oracle) choose(r *routeRequest, begin func(*worker)) {
	var best *worker
	var least time.Duration
	for _, w := range p.route.workers {
		if w.dead || slices.Contains(r.tried, w) {
			continue
		}
		prefill := w.paced(prefillMiss)
		if slices.Contains(w.held, r.prefix) {
			prefill = w.paced(prefillHit)
		}
		way := p.route.way(p.entry, w)
		wait := w.meanWait()
		if p.exact {
			wait = w.exactWait(way)
		}
		if cost := wait + prefill + 2*way; best == nil || cost < least {
			best, least = w, cost
		}
	}
	begin(best)
}

func (p *oracle) ended(*worker, error, time.Duration) {}

// ours is the decision code of an entry.
type ours struct {
	route     *route
	entry     int
	directory *balance.Directory
	budget    balance.ProbeBudget
}

// newOurs returns an entry that decides by a directory.
func newOurs(r *route, entryAt int, directory *balance.Directory) *ours {
	p := &ours{
		route:     r,
		entry:     entryAt,
		directory: directory,
	}
	directory.Centre = r.centres[entryAt]
	directory.Rand = r.random
	members := map[foxtailstack.UpstreamName]fleet.Member{}
	for _, w := range r.workers {
		members[w.member.ID.Upstream] = w.member
	}
	directory.Update(&fleet.Snapshot{
		Upstreams: map[fleet.ServiceID]map[foxtailstack.UpstreamName]fleet.Member{measuredService: members},
	}, nil)
	r.every(time.Second, func() {
		directory.Tick(r.now)
		for _, target := range directory.RecheckTargets(suspects) {
			p.probe(target, func() {})
		}
	})
	return p
}

// worker returns the worker of an upstream.
func (p *ours) worker(target balance.Target) *worker {
	at := slices.IndexFunc(p.route.workers, func(w *worker) bool { return w.member.ID == target.ID })
	return p.route.workers[at]
}

// probe asks a worker for its load and calls settled with the answer. It
// returns false if the budget is spent.
func (p *ours) probe(target balance.Target, settled func()) bool {
	if !p.budget.Spend(p.route.now) {
		return false
	}
	w := p.worker(target)
	way := p.route.way(p.entry, w)
	p.route.in(way, func() {
		if w.dead {
			p.route.in(probeLost, func() {
				p.directory.RecordProbeFailure(target)
				settled()
			})
			return
		}
		seen := upstream.ProbeResponse{
			Load:           w.queue.Load(),
			CachedPrefixes: w.recent.Set(),
		}
		p.route.in(way, func() {
			p.directory.RecordLoad(p.route.now, target, seen, 2*way)
			settled()
		})
	})
	return true
}

func (p *ours) choose(r *routeRequest, begin func(*worker)) {
	query := entry.Query{
		Service: measuredService,
		Prompt:  p.route.prompts[r.prefix],
	}
	for _, w := range r.tried {
		query.Avoid = append(query.Avoid, w.member.ID.Upstream)
	}
	proposal := p.directory.Candidates(p.route.now, query)
	begun := false
	pick := func() {
		if begun {
			return
		}
		begun = true
		target, ok := proposal.Pick(p.route.now)
		if !ok {
			begin(nil)
			return
		}
		begin(p.worker(target))
	}
	awaited, rest := proposal.ProbeTargets(p.route.now)
	asked := 0
	for _, target := range awaited {
		sent := p.probe(target, func() {
			asked--
			if asked == 0 {
				pick()
			}
		})
		if sent {
			asked++
		}
	}
	for _, target := range rest {
		p.probe(target, func() {})
	}
	if asked == 0 {
		pick()
		return
	}
	p.route.in(probeWait, pick)
}

func (p *ours) ended(w *worker, err error, latency time.Duration) {
	result := entry.AttemptResult{
		Outcome: foxtailstack.Ran,
		Latency: latency,
	}
	switch {
	case errors.Is(err, errLate):
		result.Outcome = foxtailstack.Unknown
		result.Expired = true
	case errors.Is(err, errDied):
		result.Outcome = foxtailstack.Unknown
	case errors.Is(err, errUnreachable):
		result.Outcome = foxtailstack.NotRun
		result.Unreachable = true
	case refused(err):
		result.Outcome = foxtailstack.NotRun
		result.Refused = true
	}
	p.directory.FinishAttempt(p.route.now, w.member, result)
	p.directory.UpdateHealth(p.route.now, w.member, result)
}
