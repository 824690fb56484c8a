package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	workerSlots = 16
	// workerPrefixes is the number of prefixes that a worker holds.
	workerPrefixes = 16
	// prefillHit and prefillMiss are the times to the first token.
	prefillHit  = 20 * time.Millisecond
	prefillMiss = 220 * time.Millisecond
	// localWay and remoteWay are the times of one way to a worker.
	localWay  = 250 * time.Microsecond
	remoteWay = 1500 * time.Microsecond
)

// workerCall is one attempt at a worker.
type workerCall struct {
	prefix int
	prompt []byte
	decode time.Duration
	left   time.Duration
	until  time.Time
	team   foxtailstack.TeamName
	// first is called with the time of the first token, if the prefix was held.
	first func(hit bool)
	// end is called when the attempt ends: nil, a *upstream.AdmissionError, or errDied.
	end func(error)

	// cut ends the call when no time is left.
	cut bool
}

// worker is a fake engine behind the queue of a real gate.
type worker struct {
	agenda *agenda
	member fleet.Member
	queue  upstream.Queue
	speed  float64
	dead   bool
	// life tells the calls of a worker from those before it died.
	life int
	// held are the prefixes in the cache, the least recently used first.
	held    []int
	recent  *upstream.RecentPrefixes
	running map[*workerCall]time.Time
	waiting []*workerCall
}

// newWorker returns worker n of a dozen in three data centres.
func newWorker(a *agenda, n int) *worker {
	w := &worker{
		agenda: a,
		speed:  1,
		member: fleet.Member{
			ID: fleet.UpstreamID{
				ServiceID: measuredService,
				Upstream:  foxtailstack.UpstreamName(fmt.Sprintf("w%d", n)),
			},
			Upstream: fleet.Upstream{
				Address: foxtailstack.Address(fmt.Sprintf("192.0.2.%d:1", n+1)),
				Centre:  centreOf(n),
				Slots:   workerSlots,
			},
		},
	}
	w.begin()
	return w
}

// centreOf returns the data centre of instance n.
func centreOf(n int) foxtailstack.DataCentre {
	return foxtailstack.DataCentre([]string{"a", "b", "c"}[n%3])
}

// begin starts the worker with nothing in its cache.
func (w *worker) begin() {
	unbounded, weight, random := w.queue.DisableShedding, w.queue.Weight, w.queue.Rand
	w.queue = upstream.Queue{
		DisableShedding: unbounded,
		Weight:          weight,
		Rand:            random,
	}
	w.queue.Resize(w.agenda.now, workerSlots)
	w.dead = false
	w.held = nil
	w.recent = &upstream.RecentPrefixes{}
	w.waiting = nil
	w.running = map[*workerCall]time.Time{}
}

// die ends all calls at the worker.
func (w *worker) die() {
	w.dead = true
	w.life++
	calls := w.waiting
	for c := range w.running {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(x, y *workerCall) int { return int(x.decode - y.decode) })
	for _, c := range calls {
		c.end(errDied)
	}
}

// serve takes a call that has arrived.
func (w *worker) serve(c *workerCall) {
	if w.dead {
		c.end(errUnreachable)
		return
	}
	w.waiting = append(w.waiting, c)
	c.until = w.agenda.now.Add(c.left)
	w.queue.Add(w.agenda.now, upstream.AdmissionRequest{
		Team:    c.team,
		Timeout: c.left,
	}, &upstream.Waiter{OnDecision: func(err error) { w.decided(c, err) }})
}

// decided starts or refuses a call.
func (w *worker) decided(c *workerCall, err error) {
	w.waiting = slices.DeleteFunc(w.waiting, func(x *workerCall) bool { return x == c })
	if err != nil {
		c.end(err)
		return
	}
	hit, prefill := w.load(c.prefix)
	w.recent.Add(upstream.PrefixOf(c.prompt))
	total := prefill + w.paced(c.decode)
	var late error
	if left := c.until.Sub(w.agenda.now); c.cut && total > left {
		total = left
		late = errLate
	}
	w.running[c] = w.agenda.now.Add(total)
	life := w.life
	w.agenda.in(prefill, func() {
		if life == w.life {
			c.first(hit)
		}
	})
	w.agenda.in(total, func() {
		if life != w.life {
			return
		}
		delete(w.running, c)
		w.queue.Finish(w.agenda.now)
		c.end(late)
	})
}

// load puts a prefix into the cache and returns whether it was there and the
// time to the first token.
func (w *worker) load(prefix int) (bool, time.Duration) {
	at := slices.Index(w.held, prefix)
	if at >= 0 {
		w.held = slices.Delete(w.held, at, at+1)
	}
	w.held = append(w.held, prefix)
	if len(w.held) > workerPrefixes {
		w.held = w.held[1:]
	}
	if at >= 0 {
		return true, w.paced(prefillHit)
	}
	return false, w.paced(prefillMiss)
}

// paced returns the time that the worker takes for some work.
func (w *worker) paced(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.speed)
}

// meanWait returns the expected wait of a call, from the true queue and speed.
func (w *worker) meanWait() time.Duration {
	excess := len(w.running) + len(w.waiting) - workerSlots
	if excess < 0 {
		return 0
	}
	return w.paced(prefillHit+routeDecode) * time.Duration(excess+1) / workerSlots
}

// exactWait returns how long a call that arrives after a time will wait, from
// the true lengths of all calls.
func (w *worker) exactWait(way time.Duration) time.Duration {
	var free []time.Duration
	for _, end := range w.running {
		free = append(free, max(0, end.Sub(w.agenda.now)))
	}
	for len(free) < workerSlots {
		free = append(free, 0)
	}
	slices.Sort(free)
	for _, c := range w.waiting {
		end := free[0] + w.paced(prefillHit+c.decode)
		at, _ := slices.BinarySearch(free, end)
		free = slices.Insert(free, at, end)[1:]
	}
	return max(0, free[0]-way)
}
