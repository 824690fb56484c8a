package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
)

// Outcome is what sending a request with a Reservation showed about the upstream.
// foxtailstack.Outcome in contrast reports whether a request ran.
type Outcome uint8

const (
	// Inconclusive means that the request tells nothing about the upstream.
	Inconclusive Outcome = iota
	// Answered means that the upstream sent its complete response.
	Answered
	// Failed means that the upstream gave an invalid response or broke off.
	Failed
	// Refused means that the upstream did not run the request, such as for want of
	// room, while its group works. It is avoided for a short time.
	Refused
	// Unreachable means that no connection to the upstream could be made.
	Unreachable
	// Misdirected means that the address of the upstream now belongs to another one.
	Misdirected
	// GroupBroken means that the group of the upstream cannot work.
	GroupBroken
	// Stalled means that the rank made no progress while its group did.
	Stalled
)

// Report is the result of sending a request with a Reservation.
type Report struct {
	Outcome Outcome
	// ResponseTime is the time from sending to the complete response; zero if it is not
	// to be counted.
	ResponseTime time.Duration
	// Culprit is the upstream that keeps a broken group from working; empty if it is
	// not known.
	Culprit foxtailstack.UpstreamName
}

// Reservation is the right to send one request to one upstream.
type Reservation struct {
	Upstream route.Upstream
	// Held is the room in which the request was held back, if it was.
	Held      RoomState
	scheduler *Scheduler
	service   foxtailstack.ServiceName
	breaker   *circuitBreaker
	// urgency is the urgency of the request, and begunAt the time of the reservation.
	urgency int
	begunAt time.Time
	// suspect reports that the request is a suspect.
	suspect bool
	// probe reports that the request is a probe of a broken group.
	probe bool
}

// Release returns the slot of the reservation and records how the request went. It
// must be called exactly once.
func (r *Reservation) Release(report Report) {
	s := r.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state := s.upstream(r.Upstream.Name)
	state.addRunning(-1, now)
	s.checkEmptied(r.Upstream.Centre)
	if r.suspect {
		state.suspects--
	}
	q := s.queue(r.service)
	q.room.end(r.urgency, now.Sub(r.begunAt))
	switch report.Outcome {
	case Inconclusive:
	case Answered:
		s.observeReturn(&r.Upstream, state, now)
		state.dialFailures = 0
		state.outlier.answer()
		state.recordOutcome(false, report.ResponseTime)
		q.avgResponseSeconds = averageResponse(q.avgResponseSeconds, report.ResponseTime)
	case Failed:
		ejected := state.recordFailure(r.begunAt, now)
		r.logEjected(state.outlier.failures, ejected)
	case Refused:
		state.refusedUntil = now.Add(refusedTime)
	case Unreachable:
		state.recordDialFailure(now)
		s.setCold(&r.Upstream, now.Add(s.coldLimit(r.service).Time), now)
	case Misdirected:
		state.ejectedUntil = now.Add(maxEjectTime)
	case Stalled:
		s.setSilent(&r.Upstream, now.Add(silentTime), 0)
	case GroupBroken:
		r.logGroupBroken(report.Culprit)
		r.breaker.trip(now, now.Add(probeInterval))
	}
	r.recordProbe(report.Outcome, now)
	s.serve(q)
}

// Pause records that the upstream wants no requests for a time. Zero changes nothing.
func (r *Reservation) Pause(d time.Duration) {
	if d <= 0 {
		return
	}
	s := r.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause(&r.Upstream, d, time.Now())
}

// ResponseStarted records that the upstream has begun to respond. If the request is a
// probe, that closes the circuit breaker of the group: a broken group does not begin
// to respond.
func (r *Reservation) ResponseStarted() {
	s := r.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(r.service)
	// The response has only begun, but that suffices for a probe.
	r.recordProbe(Answered, time.Now())
	r.probe = false
	s.serve(q)
}
