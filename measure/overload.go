package measure

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// overloadBegins and overloadEnds bound the overload; before and after it
	// the load is calmLoad.
	overloadBegins = 20 * time.Second
	overloadEnds   = 80 * time.Second
	overloadTime   = 110 * time.Second
	calmLoad       = 0.5
	// overloadDeadline is the time that callers have for the whole answer.
	overloadDeadline = 10 * time.Second
	// smallLoad is what the small team offers at all times, against the capacity.
	smallLoad = 0.04
	// comebacks is how often a refused caller comes back.
	comebacks = 2
	// normalWait is the time to the first token that nearly all requests of a
	// second keep once service is normal.
	normalWait = time.Second
	// settling is left out of the results at the beginning of the overload.
	settling = 5 * time.Second
)

// errLate means that the caller's deadline passed.
var errLate = errors.New("deadline passed")

// bigParts are the parts of the load of the teams that overload the system.
var bigParts = []float64{0.4, 0.25, 0.15, 0.2 / 6, 0.2 / 6, 0.2 / 6, 0.2 / 6, 0.2 / 6, 0.2 / 6}

// smallTeam is the team whose share is watched.
const smallTeam foxtailstack.TeamName = "small"

// overload is one run of one policy.
type overload struct {
	*route
	load    float64
	budgets map[foxtailstack.TeamName][]*retryBudget
	// fifo puts all teams into one queue.
	fifo bool

	// counts of the time of overload.
	good, asked, refusals, retries, successes int
	smallGood, smallAsked                     int
	told                                      []time.Duration
	// waits are the times to the first token, or -1 for a refusal, by the second
	// of arrival after the overload.
	waits map[int][]time.Duration
	// arrivals counts the calls by the second after the overload.
	arrivals map[int]int
}

// overloadCall is a caller's request, which may come back.
type overloadCall struct {
	routeRequest
	team      foxtailstack.TeamName
	comebacks int
	first     time.Duration
	done      bool
}

// Overload compares policies of admission under several times the capacity, and
// of team limits over many entries, in virtual time.
func Overload(ctx context.Context, options Options) error {
	for _, load := range []float64{2, 3, 5} {
		for _, policy := range []string{"fifo", "nobudget", "ours"} {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			err := options.Report(runOverload(options.Seed, policy, load))
			if err != nil {
				return err
			}
		}
	}
	return teamLimits(ctx, options)
}

// runOverload runs one policy under one load.
func runOverload(seed uint64, policy string, load float64) Line {
	o := &overload{
		route:    &route{random: rand.New(rand.NewPCG(seed, uint64(load)))},
		load:     load,
		fifo:     policy == "fifo",
		waits:    map[int][]time.Duration{},
		arrivals: map[int]int{},
	}
	o.now = time.Unix(0, 0)
	for n := range routeWorkers {
		w := newWorker(&o.agenda, n)
		w.queue.Rand = o.random
		w.queue.DisableShedding = policy == "fifo"
		o.workers = append(o.workers, w)
	}
	o.fillPrompts()
	for n := range routeEntries {
		o.centres = append(o.centres, centreOf(n))
		o.entries = append(o.entries, newRoutePolicy("ours", o.route, n))
	}
	if policy == "ours" {
		o.budgets = map[foxtailstack.TeamName][]*retryBudget{}
	}
	o.offer(smallTeam, func() float64 { return smallLoad })
	for n, part := range bigParts {
		name := foxtailstack.TeamName(fmt.Sprint("big", n))
		o.offer(name, func() float64 { return part * (o.present() - smallLoad) })
	}
	o.run(overloadTime)
	return o.results(policy)
}

// capacity returns the calls a second that all workers run at most.
func (o *overload) capacity() float64 {
	return routeWorkers * workerSlots / (routeDecode + prefillHit).Seconds()
}

// since returns the time since the run began.
func (o *overload) since() time.Duration {
	return o.now.Sub(time.Unix(0, 0))
}

// present returns the load of now.
func (o *overload) present() float64 {
	if at := o.since(); at >= overloadBegins && at < overloadEnds {
		return o.load
	}
	return calmLoad
}

// counted reports whether results of now count as those of the overload.
func (o *overload) counted() bool {
	at := o.since()
	return at >= overloadBegins+settling && at < overloadEnds
}

// offer lets calls of a team arrive at a rate against the capacity.
func (o *overload) offer(name foxtailstack.TeamName, rate func() float64) {
	pause := o.random.ExpFloat64() / rate() / o.capacity()
	o.in(time.Duration(pause*float64(time.Second)), func() {
		o.call(&overloadCall{
			team: name,
			routeRequest: routeRequest{
				prefix: o.drawPrefix(),
				decode: o.drawDecode(),
			},
		})
		o.offer(name, rate)
	})
}

// drawDecode returns the time to generate an answer, with two phases.
func (o *overload) drawDecode() time.Duration {
	return time.Duration((o.random.ExpFloat64() + o.random.ExpFloat64()) / 2 * float64(routeDecode))
}

// call takes a request of a caller that comes or comes back.
func (o *overload) call(c *overloadCall) {
	c.at = o.now
	c.tried = nil
	c.done = false
	c.first = -1
	if at := o.since() - overloadEnds; at >= 0 {
		o.arrivals[int(at/time.Second)]++
	}
	if o.counted() {
		o.asked++
		if c.team == smallTeam {
			o.smallAsked++
		}
	}
	o.try(o.random.IntN(routeEntries), c)
}

// try makes the next attempt of a request from an entry.
func (o *overload) try(entry int, c *overloadCall) {
	left := overloadDeadline - o.now.Sub(c.at)
	policy := o.entries[entry]
	policy.choose(&c.routeRequest, func(w *worker) {
		if w == nil {
			o.refused(c, time.Second)
			return
		}
		c.tried = append(c.tried, w)
		way := o.way(entry, w)
		began := o.now
		attempt := &workerCall{
			prefix: c.prefix,
			prompt: o.prompts[c.prefix],
			decode: c.decode,
			left:   left,
			team:   o.queueOf(c.team),
			cut:    true,
			first:  func(bool) { c.first = o.now.Sub(c.at) },
		}
		attempt.end = func(err error) {
			o.in(way, func() {
				policy.ended(w, err, o.now.Sub(began))
				o.ended(entry, c, err)
			})
		}
		o.in(way, func() { w.serve(attempt) })
	})
}

// queueOf returns the team whose queue a call of a team waits in.
func (o *overload) queueOf(name foxtailstack.TeamName) foxtailstack.TeamName {
	if o.fifo {
		return ""
	}
	return name
}

// ended takes the end of an attempt.
func (o *overload) ended(entry int, c *overloadCall, err error) {
	switch {
	case err == nil:
		o.answered(entry, c)
	case refused(err) && len(c.tried) < attempts && o.mayRetry(entry, c.team):
		if o.counted() {
			o.retries++
		}
		o.try(entry, c)
	case refused(err):
		o.refused(c, retryOf(err))
	default:
		o.note(c, overloadDeadline)
	}
}

// answered counts an answer.
func (o *overload) answered(entry int, c *overloadCall) {
	o.note(c, c.first)
	if o.budgets != nil {
		o.budget(entry, c.team).success(o.now)
	}
	if !o.counted() {
		return
	}
	o.successes++
	if o.now.Sub(c.at) <= overloadDeadline {
		o.good++
		if c.team == smallTeam {
			o.smallGood++
		}
	}
}

// refused tells a caller that the request was not run. The caller may come back
// at the time told, which HTTP gives in whole seconds.
func (o *overload) refused(c *overloadCall, retry time.Duration) {
	o.note(c, -1)
	if o.counted() {
		o.refusals++
		o.told = append(o.told, o.now.Sub(c.at))
	}
	if c.comebacks == comebacks {
		return
	}
	c.comebacks++
	seconds := (retry + time.Second - 1) / time.Second
	o.in(max(seconds, 1)*time.Second, func() { o.call(c) })
}

// note keeps the wait of a request that came after the overload.
func (o *overload) note(c *overloadCall, wait time.Duration) {
	at := c.at.Sub(time.Unix(0, 0)) - overloadEnds
	if at >= 0 {
		second := int(at / time.Second)
		o.waits[second] = append(o.waits[second], wait)
	}
}

// budget returns the budget of retries of a team at an entry.
func (o *overload) budget(entry int, name foxtailstack.TeamName) *retryBudget {
	if o.budgets[name] == nil {
		for range routeEntries {
			o.budgets[name] = append(o.budgets[name], &retryBudget{})
		}
	}
	return o.budgets[name][entry]
}

// mayRetry reports whether another attempt may be made.
func (o *overload) mayRetry(entry int, name foxtailstack.TeamName) bool {
	return o.budgets == nil || o.budget(entry, name).take(o.now)
}
