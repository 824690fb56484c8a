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
	// defaultRetry is the default time after which a refused caller may retry.
	defaultRetry = time.Second
	// minJitter is the minimum length of the interval over which the retries of
	// refused callers are spread.
	minJitter = 2 * time.Second
)

// jitter adds a random time to retry, so that callers who were refused together do
// not all retry at the same time.
func jitter(retryAfter time.Duration) time.Duration {
	return retryAfter + rand.N(max(retryAfter, minJitter))
}

// problem is an error answer in the format of RFC 9457.
type problem struct {
	Status     int    `json:"status"`
	Title      string `json:"title"`
	Detail     string `json:"detail"`
	outcome    foxtailstack.Outcome
	retryAfter time.Duration
}

// notRunProblem returns the problem for a request that has not run.
func notRunProblem(status int, detail string) *problem {
	return &problem{
		Status:  status,
		Title:   http.StatusText(status),
		Detail:  detail,
		outcome: foxtailstack.NotRun,
	}
}

// write sends the problem as the answer.
func (p *problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(HeaderOutcome, p.outcome.String())
	if p.retryAfter == 0 && p.Status == http.StatusServiceUnavailable {
		p.retryAfter = defaultRetry
	}
	if p.retryAfter > 0 {
		seconds := int((jitter(p.retryAfter) + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the caller may have disconnected
}

// maxAnswerBytes is the maximum length of an answer that is not streamed.
const maxAnswerBytes = 16 << 20

// response is the answer to a caller. It buffers the body, unless the answer is
// streamed: then it writes each piece immediately. An answer is streamed if the
// caller accepts server-sent events and the content type is that of an event stream.
type response struct {
	w          http.ResponseWriter
	stream     bool
	controller *http.ResponseController
	// started is set once a part of the answer has been sent to the caller.
	started bool
	// lastEvent is the number of the last event sent to the caller.
	lastEvent uint64
	// sentUnnumbered is set once an event without a number has been sent.
	sentUnnumbered bool
	status         int
	contentType    string
	body           []byte
	// length is the number of bytes of the body received in the last attempt.
	length int
}

// writeHead sets the status and content type of the answer. If a part of the
// answer has been sent, they must not differ from it.
func (r *response) writeHead(h upstream.Head) error {
	if r.started && (h.Status != r.status || h.ContentType != r.contentType) {
		return fmt.Errorf("%w: the answer that resumes is of another kind", ErrFrameOrder)
	}
	r.status = h.Status
	r.contentType = h.ContentType
	r.body = r.body[:0]
	r.length = 0
	return nil
}

// writeData adds a piece of the body.
func (r *response) writeData(b []byte, lastEvent uint64) error {
	r.length += len(b)
	if !r.stream || !strings.HasPrefix(r.contentType, typeEvents) {
		if len(r.body)+len(b) > maxAnswerBytes {
			return ErrAnswerTooLong
		}
		r.body = append(r.body, b...)
		return nil
	}
	if !r.started {
		r.started = true
		r.controller = http.NewResponseController(r.w)
		r.w.Header().Set("Trailer", HeaderOutcome)
		r.w.Header().Set("Content-Type", r.contentType)
		r.w.WriteHeader(r.status)
	}
	_, err := r.w.Write(b)
	if err == nil {
		err = r.controller.Flush()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCallerDisconnected, err)
	}
	// Zero with a comment line (':'), which is no event, only means that no numbered
	// event came before.
	r.sentUnnumbered = r.sentUnnumbered || lastEvent == 0 && b[0] != ':'
	r.lastEvent = lastEvent
	return nil
}

// resumable reports whether another attempt can continue the answer after the last
// event sent.
func (r *response) resumable() bool {
	return !r.sentUnnumbered
}

// writeRecorded sets the answer to a recorded one.
func (r *response) writeRecorded(answer booking.Answer) error {
	err := r.writeHead(upstream.Head{
		Status:      answer.Status,
		ContentType: answer.ContentType,
	})
	if err != nil {
		return err
	}
	return r.writeData(answer.Body, 0)
}

// finish completes the answer, where err is the error of the request or nil. An
// answer that failed after a part was sent is aborted.
func (r *response) finish(err error) {
	switch {
	case err == nil && r.started:
		r.w.Header().Set(HeaderOutcome, foxtailstack.Ran.String())
	case err == nil:
		r.w.Header().Set("Content-Type", r.contentType)
		r.w.Header().Set(HeaderOutcome, foxtailstack.Ran.String())
		r.w.WriteHeader(r.status)
		_, _ = r.w.Write(r.body) // the caller may have disconnected
	case r.started:
		panic(http.ErrAbortHandler) // a truncated answer must not look complete
	default:
		problemOf(err).write(r.w)
	}
}

// problemOf returns the problem to answer with for the error of a request.
func problemOf(err error) *problem {
	if errors.Is(err, booking.ErrMismatch) {
		return notRunProblem(http.StatusUnprocessableEntity, err.Error())
	}
	if errors.Is(err, booking.ErrKey) {
		return notRunProblem(http.StatusBadRequest, err.Error())
	}
	p := &problem{
		Status:     http.StatusBadGateway,
		Detail:     err.Error(),
		retryAfter: defaultRetry,
	}
	var attemptErr *AttemptError
	if errors.As(err, &attemptErr) {
		p.outcome = attemptErr.Outcome
		p.retryAfter = max(p.retryAfter, attemptErr.RetryAfter)
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
