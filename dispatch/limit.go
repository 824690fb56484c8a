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
	// limitMargin is the fraction of an upstream's limit that all entries use together, since
	// their shares add up to one only on average. Among more entries than fewEntries the
	// turns of several may fall together, and manyEntriesMargin is used.
	limitMargin       = 0.85
	manyEntriesMargin = 0.6
	fewEntries        = 8
	// turnTime is how long a turn lasts. A turn that is not used in it is lost, so that the
	// entries save up no requests for one moment.
	turnTime = 500 * time.Millisecond
)

// limitsTotal counts how often an upstream began to name a limit on its requests.
var limitsTotal = metrics.NewCounter("foxtailstack_dispatch_limits_total")

// turns are the moments at which this process may send a request to an upstream that names
// a limit. Each entry has its own, at an interval that follows from its share of the requests,
// so that no entry needs to know of the others' requests. The zero value sets no limit.
type turns struct {
	// limit is the rate of requests that the upstream takes from all entries together;
	// zero if it names none.
	limit foxtailstack.RequestRate
	// start is the start of the upstream that named the limit.
	start int64
	// answered is when the last answer with or without a limit arrived here. byStatus is set
	// if a status of the group has named the limit too.
	answered time.Time
	byStatus bool
	interval time.Duration
	// next is the beginning of the next turn that has not been used, or of the present one.
	next time.Time
}

// set begins a limit or changes it. share is the part of it that this process may use, and
// phase, from 0 to below 1, the part of an interval after which the first turn comes.
func (t *turns) set(limit foxtailstack.RequestRate, share, phase float64, now time.Time) {
	began := t.limit == 0
	t.limit = limit
	t.setInterval(share)
	if began || t.next.After(now.Add(t.interval)) {
		t.next = now.Add(time.Duration(phase * float64(t.interval)))
	}
}

// setInterval sets the time between two turns.
func (t *turns) setInterval(share float64) {
	seconds := 1 / (share * float64(t.limit))
	t.interval = max(time.Duration(min(seconds, math.MaxInt32)*float64(time.Second)), 1)
}

// wait returns the time until the next turn, or zero if it is now or there is no limit.
func (t *turns) wait(now time.Time) time.Duration {
	if t.limit == 0 {
		return 0
	}
	late := now.Sub(t.next) - turnTime
	if late > 0 {
		t.next = t.next.Add((late/t.interval + 1) * t.interval)
	}
	return max(0, t.next.Sub(now))
}

// take uses the present turn.
func (t *turns) take(share float64) {
	if t.limit == 0 {
		return
	}
	t.setInterval(share)
	t.next = t.next.Add(t.interval)
}

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
	if limit > 0 {
		s.beginLimit(u, limit, now)
		s.logLimit(u, &state.turns, age)
		return
	}
	state.turns = turns{}
	delete(s.limited, u.Name)
	s.logLimit(u, &state.turns, age)
	s.serve(s.queue(u.Service))
}

// beginLimit begins the limit of an upstream or changes it. The caller holds mu.
func (s *Scheduler) beginLimit(u *route.Upstream, limit foxtailstack.RequestRate, now time.Time) {
	state := s.upstream(u.Name)
	state.turns.set(limit, s.limitShare(), phaseOf(string(s.Instance), string(u.Name)), now)
	state.turns.start = u.StartUnixMilli
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

// limitShare returns the part of an upstream's limit that this process may use. An entry
// without requests keeps a part of an equal share, so that it can begin. The caller holds
// mu.
func (s *Scheduler) limitShare() float64 {
	fraction, equal := s.loadShare()
	margin := limitMargin
	if equal < 1.0/fewEntries {
		margin = manyEntriesMargin
	}
	return margin * max(fraction, minEqualShare*equal)
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
		state.turns = turns{}
		delete(s.limited, name)
		if ok {
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
