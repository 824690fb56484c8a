package dispatch

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

const (
	// coldDoublings is how often the rate of an upstream that has been cold doubles while it
	// warms up.
	coldDoublings = 4
	// coldDeviations is by how many standard deviations the requests of all entries in one
	// second, whose turns are independent, may exceed their mean.
	coldDeviations = 3
)

// coldTotal counts how often an upstream began to be cold.
var coldTotal = metrics.NewCounter("foxtailstack_dispatch_cold_total")

// ColdLimit is what the upstreams of a service take while they are cold. The zero value means
// that they take as much as always.
type ColdLimit struct {
	// Time is how long an upstream is cold after it has started.
	Time time.Duration
	// Rate is the rate of requests that a cold upstream takes from all entries together, and
	// Most is the greatest number in any second.
	Rate foxtailstack.RequestRate
	Most float64
}

// coldPhase is the time for which an upstream is cold, and then warms up. The zero value is
// that of a warm one.
type coldPhase struct {
	limit ColdLimit
	until time.Time
}

// active reports whether the upstream is cold or warms up.
func (c *coldPhase) active(now time.Time) bool {
	return c.limit.Rate > 0 && now.Before(c.until.Add(c.limit.Time))
}

// rate returns the rate at which all entries together may send requests: a margin of what a
// cold upstream takes, but so few that a second of chance does not exceed the most. While it
// warms up the rate grows by and by.
func (c *coldPhase) rate(margin float64, now time.Time) float64 {
	rate := min(margin*float64(c.limit.Rate), c.safeRate())
	warming := now.Sub(c.until)
	if warming > 0 {
		rate *= math.Exp2(coldDoublings * float64(warming) / float64(c.limit.Time))
	}
	return rate
}

// safeRate returns the mean number of requests a second that, with coldDeviations standard
// deviations and one request more, makes the most.
func (c *coldPhase) safeRate() float64 {
	root := (math.Sqrt(coldDeviations*coldDeviations+4*max(0, c.limit.Most-1)) - coldDeviations) / 2
	return max(root*root, float64(minTurnRate))
}

// minTurnRate replaces a lower rate, so that some requests still reach the upstream.
const minTurnRate foxtailstack.RequestRate = 0.1

// coldLimit returns the ColdLimit of a service.
func (s *Scheduler) coldLimit(service foxtailstack.ServiceName) ColdLimit {
	if s.Cold == nil {
		return ColdLimit{}
	}
	return s.Cold(service)
}

// ObserveCold records that an upstream says in an answer for how long it will still be cold.
// Zero changes nothing.
func (s *Scheduler) ObserveCold(u route.Upstream, d time.Duration) {
	if d <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.Fleet().Lookup(u.Name)
	if ok && current.StartUnixMilli == u.StartUnixMilli {
		now := time.Now()
		s.setCold(&u, now.Add(d), now)
	}
}

// observeColdFleet looks for upstreams that may be cold in a new list: those that say so,
// those that have started anew, and those of a data centre whose evacuation was taken back.
// The caller holds mu.
func (s *Scheduler) observeColdFleet(fleet *route.Fleet) {
	now := time.Now()
	for u := range fleet.Upstreams() {
		limit := s.coldLimit(u.Service)
		if limit.Rate <= 0 {
			continue
		}
		state := s.upstream(u.Name)
		until := u.ColdUntil
		restarted := state.seen && state.seenStart != u.StartUnixMilli
		if restarted || state.evacuated && !u.Evacuated {
			until = maxTime(until, now.Add(limit.Time))
		}
		state.seen, state.seenStart, state.evacuated = true, u.StartUnixMilli, u.Evacuated
		s.setCold(&u, until, now)
	}
}

// setCold lets an upstream be cold until a time, if it is not for longer already. The caller
// holds mu.
func (s *Scheduler) setCold(u *route.Upstream, until, now time.Time) {
	limit := s.coldLimit(u.Service)
	state := s.upstream(u.Name)
	if limit.Rate <= 0 || !until.After(now) || !until.After(state.turns.cold.until) {
		return
	}
	wasCold := now.Before(state.turns.cold.until)
	s.limitTurns(u, func(t *turns) {
		t.cold = coldPhase{
			limit: limit,
			until: until,
		}
	}, now)
	if wasCold {
		return
	}
	coldTotal.Inc()
	s.logger().Info("upstream cold",
		zap.String("service", string(u.Service)),
		zap.String("upstream", string(u.Name)),
		zap.String("centre", string(u.Centre)),
		zap.Float64("rate", float64(limit.Rate)),
		zap.Duration("interval", state.turns.interval),
		zap.Duration("left", until.Sub(now)))
}

// observeReturn lets an upstream be cold that answers after connections to it failed: it may
// have started anew. The caller holds mu.
func (s *Scheduler) observeReturn(u *route.Upstream, state *upstreamState, now time.Time) {
	if state.dialFailures > 0 {
		s.setCold(u, now.Add(s.coldLimit(u.Service).Time), now)
	}
}

// endCold forgets the upstreams that have warmed up. The caller holds mu.
func (s *Scheduler) endCold(now time.Time) {
	for name := range s.limited {
		state := s.upstream(name)
		if state.turns.limited(now) {
			continue
		}
		s.logger().Info("upstream warm", zap.String("upstream", string(name)))
		state.turns = turns{answered: state.turns.answered}
		delete(s.limited, name)
	}
}

// ColdUpstreams returns the number of upstreams that are cold.
func (s *Scheduler) ColdUpstreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name := range s.limited {
		if time.Now().Before(s.upstream(name).turns.cold.until) {
			n++
		}
	}
	return n
}
