package entry

import (
	"context"
	"net/http"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/team"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
)

// Headers of the caller API.
const (
	HeaderOutcome     = "Foxtail-Outcome"
	HeaderDeadline    = "Foxtail-Deadline"
	HeaderPriority    = "Foxtail-Priority"
	HeaderIdempotency = "Idempotency-Key"
)

// typeEvents is the media type of server-sent events.
const typeEvents = "text/event-stream"

// Events of the time line that an entry records for each attempt.
const (
	// EventAttempt is recorded when an attempt begins.
	EventAttempt timeline.Kind = "entry-attempt"
	// EventAnswer is recorded when an attempt has ended, with its outcome.
	EventAnswer timeline.Kind = "entry-answer"
)

// Server serves the caller API. The exported fields must be set, unless their
// comments say otherwise.
type Server struct {
	// Replica provides the configuration.
	Replica *fleet.Replica
	// Client connects to sidecars and to other entries.
	Client *wire.Client
	// Recorder stores the records of bookings. Only services whose policy is not
	// idempotent need it.
	Recorder booking.Recorder
	// Ring is the time line.
	Ring *timeline.Ring
	// Chooser picks the upstream of each attempt.
	Chooser Chooser
	// Limiter enforces the rate limits of teams.
	Limiter Limiter
	// Peers returns the addresses of the other entries. If it is nil, crashes
	// are not reported to others.
	Peers func(ctx context.Context) []foxtailstack.Address

	drainer       drainer
	retryBudgets  retryBudgets
	quarantine    quarantine.List
	crashReporter crashReporter
	teams         team.Index
}

// Routes adds the routes of the caller API to mux.
func (s *Server) Routes(mux *flow.Mux) {
	mux.HandleFunc("/v1/fleets/:fleet/:service", s.serveCall, http.MethodPost)
}

// serveCall serves one request of a caller: it admits, dispatches and answers it.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	if !s.drainer.begin() {
		refuseWhileDraining(w)
		return
	}
	defer s.drainer.end()
	req, problem := s.parse(w, r)
	if problem != nil {
		problem.write(w)
		return
	}
	retryAfter, ok := s.Limiter.Admit(req.team, estimateTokens(req))
	if !ok {
		limited := notRunProblem(http.StatusTooManyRequests, "the team is over its limit")
		limited.retryAfter = retryAfter
		limited.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.timeout())
	defer cancel()
	out := &response{
		w:      w,
		stream: req.stream,
	}
	err := s.dispatch(ctx, req, out)
	s.settleCost(req, out, err)
	out.finish(err)
}
