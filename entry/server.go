package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/team"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
)

// Headers of the caller API.
const (
	HeaderOutcome     = "Foxtail-Outcome"
	HeaderDeadline    = "Foxtail-Deadline"
	HeaderPriority    = "Foxtail-Priority"
	HeaderIdempotency = "Idempotency-Key"
)

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
}

// Routes adds the routes of the caller API to mux.
func (s *Server) Routes(mux *flow.Mux) {
	mux.HandleFunc("/v1/fleets/:fleet/:service", s.serveCall, http.MethodPost)
}

// serveCall serves one request of a caller.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	req, problem := s.parse(w, r)
	if problem != nil {
		problem.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.timeLeft())
	defer cancel()
	out := &response{
		w:      w,
		stream: req.stream,
	}
	out.finish(s.dispatch(ctx, req, out))
}

// parse returns the request, or the problem with it.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*request, *problem) {
	snapshot := s.Replica.Snapshot()
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	name, ok := team.Caller(snapshot, token)
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
		stream:      strings.Contains(r.Header.Get("Accept"), "text/event-stream"),
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

// dispatch makes attempts until one answers or no more are allowed.
func (s *Server) dispatch(ctx context.Context, req *request, out *response) error {
	if !req.policy.Idempotent {
		done, version, err := s.repeat(ctx, req, out)
		if done || err != nil {
			return err
		}
		req.replaces = version
	}
	var last error = notRun("", 0, ErrNoUpstream)
	for range req.attempts() {
		member, ok := s.choose(req)
		if !ok {
			break
		}
		a := &attempt{
			id:      foxtailstack.NewAttemptID(),
			request: req,
			member:  member,
		}
		s.Ring.Record(timeline.Event{
			Kind:     EventAttempt,
			Attempt:  a.id.String(),
			Upstream: member.ID.String(),
		})
		last = a.run(ctx, s, out)
		if last == nil || !retryable(req, last, out) || ctx.Err() != nil {
			break
		}
	}
	return last
}

// repeat answers a booking that has been recorded before. It reports whether
// the request needs no attempt, and otherwise the version of the record that an
// attempt may replace.
func (s *Server) repeat(ctx context.Context, req *request, out *response) (bool, foxtailstack.Version, error) {
	record, found, err := s.Recorder.Lookup(ctx, req.bookingKey())
	if err != nil {
		return false, 0, notRun("", 0, err)
	}
	if !found {
		return false, 0, nil
	}
	if record.Digest != booking.DigestOf(req.body) {
		return false, 0, notRun(upstream.ReasonBarred, 0, booking.ErrMismatch)
	}
	if record.State == booking.Done {
		return true, 0, out.whole(record.Answer)
	}
	finding, err := s.inquire(ctx, record.Claim)
	if err != nil {
		return false, 0, unknown(upstream.ReasonDown, err)
	}
	switch finding.Outcome {
	case foxtailstack.Ran:
		return true, 0, out.whole(finding.Answer)
	case foxtailstack.NotRun:
		return false, record.Version, nil
	}
	return false, 0, unknown(upstream.ReasonFailed, booking.ErrClaimed)
}

// inquire asks the sidecar that a claim names how the attempt went.
func (s *Server) inquire(ctx context.Context, claim booking.Claim) (booking.Finding, error) {
	var finding booking.Finding
	err := s.Client.Call(ctx, claim.Address, booking.StreamInquiry, booking.Inquiry{
		Attempt:     claim.Attempt,
		Incarnation: claim.Incarnation,
	}, &finding)
	return finding, err
}

// choose returns an upstream of the service that takes new work.
func (s *Server) choose(req *request) (fleet.Member, bool) {
	var members []fleet.Member
	for _, member := range s.Replica.Snapshot().Upstreams[req.id] {
		if !member.Drain {
			members = append(members, member)
		}
	}
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	return members[rand.IntN(len(members))], true
}

// retryable reports whether another attempt may follow err.
func retryable(req *request, err error, out *response) bool {
	var failed *AttemptError
	if !errors.As(err, &failed) || out.begun || errors.Is(err, booking.ErrClaimed) {
		return false
	}
	return failed.Outcome == foxtailstack.NotRun || req.policy.Idempotent
}
