package measure

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	routeWorkers  = 12
	routeEntries  = 6
	routePrefixes = 48
	// routeSkew is the exponent of the popularity of prefixes.
	routeSkew = 0.9
	// routeDecode is the mean time to generate an answer.
	routeDecode   = 2 * time.Second
	routeDeadline = 10 * time.Second
	routeWarm     = 20 * time.Second
	routeTime     = 180 * time.Second
	// routeSlow is the speed of the slow worker, which is worker 1.
	routeSlow = 0.4
	// routeDies and routeReturns are when worker 2 is down.
	routeDies    = 60 * time.Second
	routeReturns = 90 * time.Second
	// burstTime in each burstPeriod has burstFactor times the mean rate.
	burstPeriod = 15 * time.Second
	burstTime   = 3 * time.Second
	burstFactor = 1.3
	// attempts is the highest number of attempts for a request.
	attempts = 3
	// breakTime is the time until an entry notices a broken connection.
	breakTime = 50 * time.Millisecond
)

var (
	errDied        = errors.New("worker died")
	errUnreachable = errors.New("worker unreachable")
)

// measuredService is the service of the workers of experiments.
var measuredService = fleet.ServiceID{
	Fleet:   "measured",
	Service: "drafting",
}

// routePolicy picks workers for the requests of one entry.
type routePolicy interface {
	// choose calls begin with a worker, or with nil if there is none.
	choose(r *routeRequest, begin func(*worker))
	// ended tells how an attempt went.
	ended(w *worker, err error, latency time.Duration)
}

// routeRequest is one request of a caller.
type routeRequest struct {
	prefix  int
	decode  time.Duration
	at      time.Time
	tried   []*worker
	settled bool
}

// route is one run of one policy.
type route struct {
	agenda
	random  *rand.Rand
	workers []*worker
	prompts [][]byte
	popular []float64
	entries []routePolicy
	centres []foxtailstack.DataCentre

	first  []time.Duration
	late   int
	hits   int
	served int
}

// Route compares policies of choosing an upstream by the time to the first
// token, in virtual time.
func Route(ctx context.Context, options Options) error {
	return routeFor(ctx, options, routeTime)
}

// routeFor runs the comparison for a time for each policy.
func routeFor(ctx context.Context, options Options, length time.Duration) error {
	for _, load := range []int{50, 80, 95} {
		for _, policy := range []string{"roundrobin", "leastreported", "random2", "affinity", "ours", "oracle", "clairvoyant"} {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			err := options.Report(runRoute(options.Seed, policy, load, length))
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// runRoute runs one policy under one load.
func runRoute(seed uint64, policy string, load int, length time.Duration) Line {
	r := &route{random: rand.New(rand.NewPCG(seed, uint64(load)))}
	r.now = time.Unix(0, 0)
	for n := range routeWorkers {
		w := newWorker(&r.agenda, n)
		w.queue.Rand = r.random
		r.workers = append(r.workers, w)
	}
	r.workers[1].speed = routeSlow
	r.fillPrompts()
	for n := range routeEntries {
		r.centres = append(r.centres, centreOf(n))
		r.entries = append(r.entries, newRoutePolicy(policy, r, n))
	}
	r.in(routeDies, r.workers[2].die)
	r.in(routeReturns, r.workers[2].begin)
	capacity := (routeWorkers - 1 + routeSlow) * workerSlots / (routeDecode + prefillHit).Seconds()
	r.arrive(float64(load) / 100 * capacity)
	r.run(length)
	return r.line(policy, load)
}

// fillPrompts makes the prompts and their popularity.
func (r *route) fillPrompts() {
	for n := range routePrefixes {
		r.prompts = append(r.prompts, []byte(strings.Repeat(fmt.Sprintf("prefix %d ", n), 40)))
		r.popular = append(r.popular, math.Pow(float64(n+1), -routeSkew))
	}
}

// arrive lets requests arrive at a mean rate.
func (r *route) arrive(rate float64) {
	share := burstTime.Seconds() / burstPeriod.Seconds()
	now := rate * (1 - burstFactor*share) / (1 - share)
	if time.Duration(r.now.UnixNano())%burstPeriod < burstTime {
		now = rate * burstFactor
	}
	r.in(time.Duration(r.random.ExpFloat64()/now*float64(time.Second)), func() {
		entry := r.random.IntN(routeEntries)
		r.attempt(entry, &routeRequest{
			prefix: r.drawPrefix(),
			decode: time.Duration(r.random.ExpFloat64() * float64(routeDecode)),
			at:     r.now,
		})
		r.arrive(rate)
	})
}

// drawPrefix returns a prefix, the popular ones more often.
func (r *route) drawPrefix() int {
	sum := 0.0
	for _, p := range r.popular {
		sum += p
	}
	x := r.random.Float64() * sum
	for n, p := range r.popular {
		x -= p
		if x < 0 {
			return n
		}
	}
	return len(r.popular) - 1
}

// attempt makes the next attempt of a request from an entry.
func (r *route) attempt(entry int, req *routeRequest) {
	left := routeDeadline - r.now.Sub(req.at)
	if len(req.tried) == attempts || left <= 0 {
		r.settle(req, false, false)
		return
	}
	policy := r.entries[entry]
	policy.choose(req, func(w *worker) {
		if w == nil {
			r.settle(req, false, false)
			return
		}
		req.tried = append(req.tried, w)
		way := r.way(entry, w)
		began := r.now
		c := &workerCall{
			prefix: req.prefix,
			prompt: r.prompts[req.prefix],
			decode: req.decode,
			left:   left,
			first:  func(hit bool) { r.in(way, func() { r.settle(req, true, hit) }) },
		}
		c.end = func(err error) {
			if errors.Is(err, errDied) || errors.Is(err, errUnreachable) {
				way = breakTime
			}
			r.in(way, func() {
				policy.ended(w, err, r.now.Sub(began))
				if err != nil && !req.settled {
					r.attempt(entry, req)
				}
			})
		}
		r.in(way, func() { w.serve(c) })
	})
}

// way returns the time of one way from an entry to a worker.
func (r *route) way(entry int, w *worker) time.Duration {
	if r.centres[entry] == w.member.Centre {
		return localWay
	}
	return remoteWay
}

// settle counts a request that has its first token or never gets one.
func (r *route) settle(req *routeRequest, answered, hit bool) {
	if req.settled {
		return
	}
	req.settled = true
	if req.at.Before(time.Unix(0, 0).Add(routeWarm)) {
		return
	}
	r.served++
	first := r.now.Sub(req.at)
	if !answered || first > routeDeadline {
		r.late++
		first = routeDeadline
	}
	if hit {
		r.hits++
	}
	r.first = append(r.first, first)
}

// line returns the results.
func (r *route) line(policy string, load int) Line {
	return Line{
		{
			Key:   "policy",
			Value: policy,
		},
		{
			Key:   "load",
			Value: load,
		},
		{
			Key:   "p50",
			Value: quantile(r.first, 0.5),
		},
		{
			Key:   "p95",
			Value: quantile(r.first, 0.95),
		},
		{
			Key:   "p99",
			Value: quantile(r.first, 0.99),
		},
		{
			Key:   "late",
			Value: float64(r.late) / float64(max(r.served, 1)),
		},
		{
			Key:   "hits",
			Value: float64(r.hits) / float64(max(r.served, 1)),
		},
	}
}

// quantile returns the time that a share of all times do not exceed, or zero if there
// are none.
func quantile(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(share*float64(len(sorted)-1))].Round(time.Millisecond / 10)
}

// retryOf returns when a gate lets a refused call come back.
func retryOf(err error) time.Duration {
	var gate *upstream.AdmissionError
	if errors.As(err, &gate) {
		return gate.RetryAfter
	}
	return 0
}

// refused reports whether a gate refused the attempt.
func refused(err error) bool {
	var gate *upstream.AdmissionError
	return errors.As(err, &gate)
}
