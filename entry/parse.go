package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
)

const (
	// maxBody is the length of the longest request body in bytes. It fits into
	// one message to a sidecar.
	maxBody = 768 << 10
	// maxKey is the length of the longest idempotency key in bytes.
	maxKey = 255
	// maxPriority is the highest priority; its negative is the lowest.
	maxPriority = 7
)

// parse returns the request, or the problem with it.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*request, *problem) {
	snapshot := s.Replica.Snapshot()
	if snapshot.Revision == 0 {
		return nil, refuse(http.StatusServiceUnavailable, "the entry has no configuration yet")
	}
	req := &request{
		id: fleet.ServiceID{
			Fleet:   foxtailstack.FleetName(r.PathValue("fleet")),
			Service: foxtailstack.ServiceName(r.PathValue("service")),
		},
		idempotency: r.Header.Get(HeaderIdempotency),
		contentType: r.Header.Get("Content-Type"),
		stream:      strings.Contains(r.Header.Get("Accept"), typeEvents),
	}
	for _, step := range []func(*fleet.Snapshot, *request, *http.Request) *problem{
		s.authorize, findService, parseHeaders,
	} {
		if p := step(snapshot, req, r); p != nil {
			return nil, p
		}
	}
	return req, readBody(w, req, r)
}

// authorize finds the team of the caller and checks that it may call the fleet.
func (s *Server) authorize(snapshot *fleet.Snapshot, req *request, r *http.Request) *problem {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	name, ok := s.teams.Caller(snapshot, token)
	if !ok {
		return refuse(http.StatusUnauthorized, "the token belongs to no team")
	}
	fleets := snapshot.Teams[name].Fleets
	if len(fleets) > 0 && !slices.Contains(fleets, req.id.Fleet) {
		return refuse(http.StatusForbidden, fmt.Sprintf("team %s may not call fleet %s", name, req.id.Fleet))
	}
	req.team = name
	return nil
}

// findService finds the service of the request and its policy.
func findService(snapshot *fleet.Snapshot, req *request, _ *http.Request) *problem {
	service, ok := snapshot.Services[req.id]
	if !ok {
		return refuse(http.StatusNotFound, "no service "+req.id.String())
	}
	policy, ok := snapshot.Policies[fleet.PolicyID{
		Fleet:  req.id.Fleet,
		Policy: service.Policy,
	}]
	if !ok {
		return refuse(http.StatusServiceUnavailable, "no policy "+string(service.Policy))
	}
	req.service = service
	req.policy = policy
	return nil
}

// parseHeaders reads the headers that steer the request.
func parseHeaders(_ *fleet.Snapshot, req *request, r *http.Request) *problem {
	if !req.policy.Idempotent && req.idempotency == "" {
		return refuse(http.StatusBadRequest, "the service needs a header "+HeaderIdempotency)
	}
	if len(req.idempotency) > maxKey {
		return refuse(http.StatusBadRequest, fmt.Sprintf("header %s is longer than %d bytes", HeaderIdempotency, maxKey))
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil || deadline <= 0 {
			return refuse(http.StatusBadRequest, "header "+HeaderDeadline+" is not a positive duration")
		}
		req.deadline = deadline
	}
	if text := r.Header.Get(HeaderPriority); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < -maxPriority || n > maxPriority {
			return refuse(http.StatusBadRequest,
				fmt.Sprintf("header %s is not a whole number from -%d to %d", HeaderPriority, maxPriority, maxPriority))
		}
		req.priority = foxtailstack.Priority(n)
	}
	return nil
}

// readBody reads the whole body of the request.
func readBody(w http.ResponseWriter, req *request, r *http.Request) *problem {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return refuse(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if err != nil {
		return refuse(http.StatusBadRequest, "the body was cut short")
	}
	req.body = body
	return nil
}
