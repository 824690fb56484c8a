package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	// defaultRetry is the time after which a refused caller may come back.
	defaultRetry = time.Second
	// minSpread is the shortest time over which refused callers come back.
	minSpread = 2 * time.Second
)

// spread returns a time from retry upwards, so that callers who were refused
// together do not come back together.
func spread(retry time.Duration) time.Duration {
	return retry + rand.N(max(retry, minSpread))
}

// problem is a refusal in the form of RFC 9457.
type problem struct {
	Status  int    `json:"status"`
	Title   string `json:"title"`
	Detail  string `json:"detail"`
	outcome foxtailstack.Outcome
	retry   time.Duration
}

// refuse returns the problem of a request that was not run.
func refuse(status int, detail string) *problem {
	return &problem{
		Status:  status,
		Title:   http.StatusText(status),
		Detail:  detail,
		outcome: foxtailstack.NotRun,
	}
}

// write answers with the problem.
func (p *problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(HeaderOutcome, p.outcome.String())
	if p.retry == 0 && p.Status == http.StatusServiceUnavailable {
		p.retry = defaultRetry
	}
	if p.retry > 0 {
		seconds := int((spread(p.retry) + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the caller may be gone
}

// maxAnswer is the length of the longest answer that is not streamed in bytes.
const maxAnswer = 16 << 20

// response collects a whole answer, or passes a streamed one on.
type response struct {
	w      http.ResponseWriter
	stream bool
	flush  *http.ResponseController
	// begun is set once the caller has received part of the answer.
	begun bool
	// last is the number of the last event that the caller has received.
	last uint64
	// unnumbered is set once the caller has received an event without a number.
	unnumbered bool
	status     int
	kind       string
	body       []byte
	// length is the length in bytes of the answer so far.
	length int
}

// head takes the head of an answer. One that goes on after a part was delivered
// must be like the one before.
func (r *response) head(h upstream.Head) error {
	if r.begun && (h.Status != r.status || h.ContentType != r.kind) {
		return fmt.Errorf("%w: the answer that resumes is of another kind", ErrFrameOrder)
	}
	r.status = h.Status
	r.kind = h.ContentType
	r.body = r.body[:0]
	r.length = 0
	return nil
}

// data takes a piece of the body.
func (r *response) data(b []byte, last uint64) error {
	r.length += len(b)
	if !r.stream || !strings.HasPrefix(r.kind, typeEvents) {
		if len(r.body)+len(b) > maxAnswer {
			return ErrAnswerTooLong
		}
		r.body = append(r.body, b...)
		return nil
	}
	if !r.begun {
		r.begun = true
		r.flush = http.NewResponseController(r.w)
		r.w.Header().Set("Trailer", HeaderOutcome)
		r.w.Header().Set("Content-Type", r.kind)
		r.w.WriteHeader(r.status)
	}
	_, err := r.w.Write(b)
	if err == nil {
		err = r.flush.Flush()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCallerDisconnected, err)
	}
	r.unnumbered = r.unnumbered || last == 0 && b[0] != ':' // comments have no number
	r.last = last
	return nil
}

// resumable reports whether another attempt can go on where this one broke off.
func (r *response) resumable() bool {
	return !r.unnumbered
}

// whole takes a recorded answer.
func (r *response) whole(answer booking.Answer) error {
	err := r.head(upstream.Head{
		Status:      answer.Status,
		ContentType: answer.ContentType,
	})
	if err != nil {
		return err
	}
	return r.data(answer.Body, 0)
}

// finish ends the answer: err is the error of the last attempt.
func (r *response) finish(err error) {
	switch {
	case err == nil && r.begun:
		r.w.Header().Set(HeaderOutcome, foxtailstack.Ran.String())
	case err == nil:
		r.w.Header().Set("Content-Type", r.kind)
		r.w.Header().Set(HeaderOutcome, foxtailstack.Ran.String())
		r.w.WriteHeader(r.status)
		_, _ = r.w.Write(r.body) // the caller may be gone
	case r.begun:
		panic(http.ErrAbortHandler) // an answer cut short must not look whole
	default:
		problemOf(err).write(r.w)
	}
}

// problemOf returns the problem that stands for the error of an attempt.
func problemOf(err error) *problem {
	if errors.Is(err, booking.ErrMismatch) {
		return refuse(http.StatusUnprocessableEntity, err.Error())
	}
	if errors.Is(err, booking.ErrKey) {
		return refuse(http.StatusBadRequest, err.Error())
	}
	p := &problem{
		Status: http.StatusBadGateway,
		Detail: err.Error(),
		retry:  defaultRetry,
	}
	var failed *AttemptError
	if errors.As(err, &failed) {
		p.outcome = failed.Outcome
		p.retry = max(p.retry, failed.Retry)
	}
	switch {
	case p.outcome == foxtailstack.NotRun:
		p.Status = http.StatusServiceUnavailable
	case errors.Is(err, context.DeadlineExceeded):
		p.Status = http.StatusGatewayTimeout
	}
	p.Title = http.StatusText(p.Status)
	return p
}
