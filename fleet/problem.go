package fleet

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/foxtailstack/foxtailstack"
)

// Errors of the resource API. Test for them with errors.Is.
var (
	// ErrUnauthorized means that the request has no known operator's token.
	ErrUnauthorized = errors.New("operator's token is missing or unknown")
	// ErrForbidden means that the token does not allow the request.
	ErrForbidden = errors.New("operator may not do this")
	// ErrTooLarge means that the body is longer than a spec may be.
	ErrTooLarge = errors.New("body is too large")
	// ErrPrecondition means that a change must name the version it replaces.
	ErrPrecondition = errors.New("If-Match is missing")
	// ErrMethod means that the path does not take the method.
	ErrMethod = errors.New("method is not allowed")
)

const (
	contentJSON    = "application/json"
	contentProblem = "application/problem+json"
	// typePrefix is the prefix of the types of problems.
	typePrefix = "urn:foxtailstack:problem:"
	// retryAfter is when to try again, in seconds.
	retryAfter = "1"
)

// Problem is an error answer of the resource API, by RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Version is the present version of a resource that has changed.
	Version foxtailstack.Version `json:"version,omitempty"`
}

// problems holds the status and the type for each error, the most specific
// first.
var problems = []struct {
	err    error
	status int
	name   string
}{
	{
		err:    ErrTooLarge,
		status: http.StatusRequestEntityTooLarge,
		name:   "large",
	},
	{
		err:    ErrUncertain,
		status: http.StatusGatewayTimeout,
		name:   "unknown",
	},
	{
		err:    ErrStale,
		status: http.StatusPreconditionFailed,
		name:   "stale",
	},
	{
		err:    ErrPrecondition,
		status: http.StatusPreconditionRequired,
		name:   "precondition",
	},
	{
		err:    ErrNotFound,
		status: http.StatusNotFound,
		name:   "absent",
	},
	{
		err:    ErrReference,
		status: http.StatusConflict,
		name:   "reference",
	},
	{
		err:    ErrRepeated,
		status: http.StatusUnprocessableEntity,
		name:   "repeated",
	},
	{
		err:    ErrUnauthorized,
		status: http.StatusUnauthorized,
		name:   "unauthorized",
	},
	{
		err:    ErrForbidden,
		status: http.StatusForbidden,
		name:   "forbidden",
	},
	{
		err:    ErrMethod,
		status: http.StatusMethodNotAllowed,
		name:   "method",
	},
	{
		err:    ErrGap,
		status: http.StatusGone,
		name:   "gap",
	},
	{
		err:    ErrInvalid,
		status: http.StatusBadRequest,
		name:   "invalid",
	},
	{
		err:    ErrUnavailable,
		status: http.StatusServiceUnavailable,
		name:   "unavailable",
	},
}

// problemOf returns the problem that stands for err.
func problemOf(err error) Problem {
	for _, p := range problems {
		if errors.Is(err, p.err) {
			return Problem{
				Type:   typePrefix + p.name,
				Title:  p.err.Error(),
				Status: p.status,
				Detail: err.Error(),
			}
		}
	}
	return Problem{
		Type:   typePrefix + "internal",
		Title:  "internal error",
		Status: http.StatusInternalServerError,
	}
}

// writeError answers the problem that stands for err.
func writeError(w http.ResponseWriter, err error) {
	writeProblem(w, problemOf(err))
}

// writeProblem answers a problem.
func writeProblem(w http.ResponseWriter, p Problem) {
	switch p.Status {
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", "Bearer")
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		w.Header().Set("Retry-After", retryAfter)
	}
	if p.Version > 0 {
		w.Header().Set("ETag", etag(p.Version))
	}
	w.Header().Set("Content-Type", contentProblem)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the operator may be gone
}

// etag returns the entity tag of a version.
func etag(version foxtailstack.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(version), 10))
}
