package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
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

// maxBody is the length of the longest request body in bytes. It fits into one
// message to a sidecar.
const maxBody = 768 << 10

// Events of the entry.
const (
	EventAttempt timeline.Kind = "entry-attempt"
	EventAnswer  timeline.Kind = "entry-answer"
)

// Server serves the caller API.
type Server struct {
	Replica  *fleet.Replica
	Client   *wire.Client
	Recorder booking.Recorder
	Ring     *timeline.Ring
	Chooser  Chooser
	Limiter  Limiter
	// Peers returns the addresses of the other entries. It may be nil.
	Peers func(ctx context.Context) []foxtailstack.Address

	door       door
	budgets    budgets
	quarantine quarantine
	teller     teller
	teams      team.Index
}

// Routes adds the routes of the caller API to mux.
func (s *Server) Routes(mux *flow.Mux) {
	mux.HandleFunc("/v1/fleets/:fleet/:service", s.serveCall, http.MethodPost)
}

// serveCall serves one request of a caller.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	if !s.door.enter() {
		refuseStopping(w)
		return
	}
	defer s.door.leave()
	req, problem := s.parse(w, r)
	if problem != nil {
		problem.write(w)
		return
	}
	retry, ok := s.Limiter.Admit(req.team, costOf(req))
	if !ok {
		limited := refuse(http.StatusTooManyRequests, "the team is over its limit")
		limited.retry = retry
		limited.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.timeLeft())
	defer cancel()
	out := &response{
		w:      w,
		stream: req.stream,
	}
	err := s.dispatch(ctx, req, out)
	s.settle(req, out, err)
	out.finish(err)
}

// parse returns the request, or the problem with it.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*request, *problem) {
	snapshot := s.Replica.Snapshot()
	if snapshot.Revision == 0 {
		return nil, refuse(http.StatusServiceUnavailable, "the entry has no configuration yet")
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	name, ok := s.teams.Caller(snapshot, token)
	if !ok {
		return nil, refuse(http.StatusUnauthorized, "the token belongs to no team")
	}
	id := fleet.ServiceID{
		Fleet:   foxtailstack.FleetName(r.PathValue("fleet")),
		Service: foxtailstack.ServiceName(r.PathValue("service")),
	}
	service, ok := snapshot.Services[id]
	if !ok {
		return nil, refuse(http.StatusNotFound, "no service "+id.String())
	}
	policy, ok := snapshot.Policies[fleet.PolicyID{
		Fleet:  id.Fleet,
		Policy: service.Policy,
	}]
	if !ok {
		return nil, refuse(http.StatusServiceUnavailable, "no policy "+string(service.Policy))
	}
	req := &request{
		team:        name,
		id:          id,
		service:     service,
		policy:      policy,
		idempotency: r.Header.Get(HeaderIdempotency),
		contentType: r.Header.Get("Content-Type"),
		stream:      strings.Contains(r.Header.Get("Accept"), typeEvents),
	}
	if !policy.Idempotent && req.idempotency == "" {
		return nil, refuse(http.StatusBadRequest, "the service needs a header "+HeaderIdempotency)
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil || deadline <= 0 {
			return nil, refuse(http.StatusBadRequest, "header "+HeaderDeadline+" is not a positive duration")
		}
		req.deadline = deadline
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, refuse(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "the body was cut short")
	}
	req.body = body
	return req, nil
}
