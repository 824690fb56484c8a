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
	// maxBodyBytes is the maximum length of a request body. Such a body fits
	// into one message to a sidecar.
	maxBodyBytes = 768 << 10
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// maxPriority is the highest priority. The lowest is -maxPriority.
	maxPriority = 7
)

// parse returns the request, or the problem to answer it with.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*request, *problem) {
	snapshot := s.Replica.Snapshot()
	if snapshot.Revision == 0 {
		return nil, notRunProblem(http.StatusServiceUnavailable, "the entry has no configuration yet")
	}
	req := &request{
		serviceID: fleet.ServiceID{
			Fleet:   foxtailstack.FleetName(r.PathValue("fleet")),
			Service: foxtailstack.ServiceName(r.PathValue("service")),
		},
		idempotencyKey: r.Header.Get(HeaderIdempotency),
		contentType:    r.Header.Get("Content-Type"),
		stream:         strings.Contains(r.Header.Get("Accept"), typeEvents),
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

// authorize finds the team of the caller and checks that the team may call the
// fleet. A team without a list of fleets may call all.
func (s *Server) authorize(snapshot *fleet.Snapshot, req *request, r *http.Request) *problem {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	name, ok := s.teams.Caller(snapshot, token)
	if !ok {
		return notRunProblem(http.StatusUnauthorized, "the token belongs to no team")
	}
	fleets := snapshot.Teams[name].Fleets
	if len(fleets) > 0 && !slices.Contains(fleets, req.serviceID.Fleet) {
		return notRunProblem(http.StatusForbidden, fmt.Sprintf("team %s may not call fleet %s", name, req.serviceID.Fleet))
	}
	req.team = name
	return nil
}

// findService finds the service of the request and its policy.
func findService(snapshot *fleet.Snapshot, req *request, _ *http.Request) *problem {
	service, ok := snapshot.Services[req.serviceID]
	if !ok {
		return notRunProblem(http.StatusNotFound, "no service "+req.serviceID.String())
	}
	policy, ok := snapshot.Policies[fleet.PolicyID{
		Fleet:  req.serviceID.Fleet,
		Policy: service.Policy,
	}]
	if !ok {
		return notRunProblem(http.StatusServiceUnavailable, "no policy "+string(service.Policy))
	}
	req.service = service
	req.policy = policy
	return nil
}

// parseHeaders reads the deadline and the priority of the request and checks its
// idempotency key.
func parseHeaders(_ *fleet.Snapshot, req *request, r *http.Request) *problem {
	if !req.policy.Idempotent && req.idempotencyKey == "" {
		return notRunProblem(http.StatusBadRequest, "the service needs a header "+HeaderIdempotency)
	}
	if len(req.idempotencyKey) > maxKeyBytes {
		return notRunProblem(http.StatusBadRequest, fmt.Sprintf("header %s is longer than %d bytes", HeaderIdempotency, maxKeyBytes))
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil || deadline <= 0 {
			return notRunProblem(http.StatusBadRequest, "header "+HeaderDeadline+" is not a positive duration")
		}
		req.callerTimeout = deadline
	}
	if text := r.Header.Get(HeaderPriority); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < -maxPriority || n > maxPriority {
			return notRunProblem(http.StatusBadRequest,
				fmt.Sprintf("header %s is not a whole number from -%d to %d", HeaderPriority, maxPriority, maxPriority))
		}
		req.priority = foxtailstack.Priority(n)
	}
	return nil
}

// readBody reads the body of the request.
func readBody(w http.ResponseWriter, req *request, r *http.Request) *problem {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return notRunProblem(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if err != nil {
		return notRunProblem(http.StatusBadRequest, "the body was cut short")
	}
	req.body = body
	return nil
}
