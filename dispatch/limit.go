package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// limitsTotal counts how often an upstream began to name a limit on its requests.
var limitsTotal = metrics.NewCounter("foxtailstack_dispatch_limits_total")

// ObserveLimit records the rate of requests that an upstream takes from all entries
// together, as it stood in one of its answers; zero if it names none.
func (s *Scheduler) ObserveLimit(u route.Upstream, limit foxtailstack.RequestRate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.Fleet().Lookup(u.Name)
	if !ok || current.StartUnixMilli != u.StartUnixMilli {
		return
	}
	now := time.Now()
	s.setLimit(&u, limit, 0, now)
	s.upstream(u.Name).turns.answered = now
}

// observeStatusLimit records the limit of a rank as a status of a given age names it. So
// entries learn of a limit, and of its end, that have no request at the rank for long. A
// status without a limit ends one only if a status has named it: the reports of ranks need
// not carry limits. An answer that came after the status counts more. The caller holds mu.
func (s *Scheduler) observeStatusLimit(u *route.Upstream, limit foxtailstack.RequestRate, age time.Duration, now time.Time) {
	state := s.upstream(u.Name)
	if now.Add(-age).Before(state.turns.answered) || limit == 0 && !state.turns.byStatus {
		return
	}
	s.setLimit(u, limit, age, now)
	state.turns.byStatus = limit > 0
}

// setLimit sets the limit of an upstream and logs a change. age is the age of the status
// that shows it, or zero if there is none. The caller holds mu.
func (s *Scheduler) setLimit(u *route.Upstream, limit foxtailstack.RequestRate, age time.Duration, now time.Time) {
	state := s.upstream(u.Name)
	before := state.turns.limit
	if before == limit {
		return
	}
	if before == 0 {
		limitsTotal.Inc()
	}
	s.limitTurns(u, func(t *turns) { t.limit = limit }, now)
	s.logLimit(u, &state.turns, age)
	if limit == 0 {
		s.serve(s.queue(u.Service))
	}
}

// limitTurns changes what limits the turns at an upstream. The caller holds mu.
func (s *Scheduler) limitTurns(u *route.Upstream, change func(t *turns), now time.Time) {
	t := &s.upstream(u.Name).turns
	before := *t
	change(t)
	if !t.limited(now) {
		*t = turns{answered: t.answered}
		delete(s.limited, u.Name)
		return
	}
	t.start = u.StartUnixMilli
	t.begin(s.turnShare(), phaseOf(string(s.Instance), string(u.Name)), !before.limited(now), now)
	if s.limited == nil {
		s.limited = make(map[foxtailstack.UpstreamName]bool)
	}
	s.limited[u.Name] = true
}

// logLimit logs a change of the limit of an upstream.
func (s *Scheduler) logLimit(u *route.Upstream, t *turns, age time.Duration) {
	message := "upstream names a limit"
	if t.limit == 0 {
		message = "upstream names no limit any more"
	}
	s.logger().Info(message,
		zap.String("service", string(u.Service)),
		zap.String("upstream", string(u.Name)),
		zap.Float64("limit", float64(t.limit)),
		zap.Duration("interval", t.interval),
		zap.Duration("age", age))
}

// dropLimits ends the limits of upstreams that have left the fleet or started anew. The
// caller holds mu.
func (s *Scheduler) dropLimits(fleet *route.Fleet) {
	for name := range s.limited {
		u, ok := fleet.Lookup(name)
		state := s.upstream(name)
		if ok && u.StartUnixMilli == state.turns.start {
			continue
		}
		named := state.turns.limit > 0
		state.turns = turns{}
		delete(s.limited, name)
		if ok && named {
			s.logLimit(&u, &state.turns, 0)
		}
	}
}

// limitedWait is what requests wait for that may go only to upstreams which name a limit.
// The zero value means that there are others.
type limitedWait struct {
	// turn is the time until the next turn at one of them.
	turn time.Duration
	// rate is the number of turns a second at all of them.
	rate float64
	// response is the shortest of their average response times.
	response time.Duration
}

// add adds an upstream that names a limit.
func (l *limitedWait) add(state *upstreamState, now time.Time) {
	wait := state.turns.wait(now)
	response := time.Duration(state.avgResponseSeconds * float64(time.Second))
	if l.rate == 0 {
		l.turn, l.response = wait, response
	}
	l.turn = min(l.turn, wait)
	l.response = min(l.response, response)
	l.rate += 1 / state.turns.interval.Seconds()
}

// admit returns a *LimitedError if a request that is served after others, of which none has
// been served yet, would be too late.
func (l *limitedWait) admit(request *Request, now time.Time, others int) error {
	if l.rate == 0 {
		return nil
	}
	wait := l.turn + time.Duration(float64(others)/l.rate*float64(time.Second))
	if wait > 0 {
		wait += rescanInterval // the queue may be served so much later
	}
	if others > 0 && expired(request.TurnBy, now.Add(wait)) {
		return &LimitedError{Wait: wait}
	}
	return l.check(request, now, wait)
}

// check returns a *LimitedError if a request that waits for a time would be too late.
func (l *limitedWait) check(request *Request, now time.Time, wait time.Duration) error {
	if l.rate > 0 && request.unservable(now.Add(wait), l.response) {
		return &LimitedError{Wait: wait}
	}
	return nil
}
