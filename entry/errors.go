package entry

import (
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/upstream"
)

// Errors of this package. Test for them with errors.Is.
var (
	// ErrNoUpstream means that no upstream of the service takes new work, or that
	// a suspect waited too long for an equal request to finish.
	ErrNoUpstream = errors.New("no upstream can take the request")
	// ErrTruncated means that a stream ended before the last frame of the answer,
	// or that its first frame was not the reservation it had to be.
	ErrTruncated = errors.New("answer was cut short")
	// ErrCorrupt means that the received answer differs from the one sent by the
	// sidecar, by its length, checksum or attempt.
	ErrCorrupt = errors.New("answer does not match its length and sum")
	// ErrFrameOrder means that the frames of an answer are out of order.
	ErrFrameOrder = errors.New("frame out of order")
	// ErrAnswerTooLong means that an answer that is not streamed exceeds 16 MiB.
	ErrAnswerTooLong = errors.New("answer too long")
	// ErrCallerDisconnected means that writing the answer to the caller failed.
	ErrCallerDisconnected = errors.New("caller is gone")
	// ErrQuarantined means that the request is refused because upstreams crashed
	// while they ran equal requests.
	ErrQuarantined = errors.New("request is quarantined after crashes of upstreams")
)

// NotRunCause is the reason why an attempt has certainly not run.
type NotRunCause uint8

// The causes of the outcome NotRun. Each proves that the engine has not received
// the attempt and never will. Nothing else proves it: if a stream breaks after the
// attempt was opened, the outcome is Unknown.
const (
	// CauseUnsent means that the entry did not send the attempt to a sidecar.
	CauseUnsent NotRunCause = iota + 1
	// CauseRefused means that the sidecar refused the attempt before it reached
	// the engine.
	CauseRefused
	// CauseWithheld means that the entry did not send the Run frame, without
	// which a reserved attempt does not start, or that the record of the booking
	// and the sidecar that it names show that the attempt has not run and will not.
	CauseWithheld
)

// AttemptError is the error of an attempt without a complete answer.
type AttemptError struct {
	// Outcome is NotRun or Unknown.
	Outcome foxtailstack.Outcome
	// Cause is set if the outcome is NotRun.
	Cause NotRunCause
	// Reason may be empty.
	Reason upstream.Reason
	// RetryAfter is the time after which the caller may retry, or zero if it is
	// unknown.
	RetryAfter time.Duration
	// Err is the underlying error. It is nil if the sidecar refused or failed the
	// attempt, or if the outcome NotRun was learnt from the record of the booking.
	Err error
}

// Error returns the text of the error.
func (e *AttemptError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("attempt %s: %v", e.Outcome, e.Err)
	}
	return fmt.Sprintf("attempt %s: %s", e.Outcome, e.Reason)
}

// Unwrap returns the underlying error, or nil.
func (e *AttemptError) Unwrap() error {
	return e.Err
}

// connectionLost reports whether the stream broke when the attempt may already
// have started.
func (e *AttemptError) connectionLost() bool {
	return e.Outcome == foxtailstack.Unknown && e.Reason == upstream.ReasonConnectionLost
}

// mayHaveCrashed reports whether the upstream may have crashed during the attempt.
func (e *AttemptError) mayHaveCrashed() bool {
	return e.connectionLost() || e.Outcome == foxtailstack.Unknown && e.Reason == upstream.ReasonCrashed
}

// withheldError returns the error of an attempt with the cause CauseWithheld.
func withheldError(reason upstream.Reason, retryAfter time.Duration, err error) *AttemptError {
	return notRunError(CauseWithheld, reason, retryAfter, err)
}

// unsentError returns the error of an attempt that was not sent to a sidecar.
func unsentError(reason upstream.Reason, retryAfter time.Duration, err error) *AttemptError {
	return notRunError(CauseUnsent, reason, retryAfter, err)
}

// refusalError returns the error of an attempt that the sidecar refused.
func refusalError(refusal *upstream.Refusal) *AttemptError {
	return notRunError(CauseRefused, refusal.Reason, refusal.RetryAfter, nil)
}

// notRunError returns an error with the outcome NotRun. Errors with this outcome
// are made nowhere else.
func notRunError(cause NotRunCause, reason upstream.Reason, retryAfter time.Duration, err error) *AttemptError {
	return &AttemptError{
		Outcome:    foxtailstack.NotRun,
		Cause:      cause,
		Reason:     reason,
		RetryAfter: retryAfter,
		Err:        err,
	}
}

// unknownError returns an error with the outcome Unknown: the attempt may have run.
func unknownError(reason upstream.Reason, err error) *AttemptError {
	return &AttemptError{
		Outcome: foxtailstack.Unknown,
		Reason:  reason,
		Err:     err,
	}
}
