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
	// ErrNoUpstream means that the service has no upstream to try.
	ErrNoUpstream = errors.New("no upstream can take the request")
	// ErrTruncated means that an answer ended before its last frame.
	ErrTruncated = errors.New("answer was cut short")
	// ErrCorrupt means that an answer differs from what the sidecar sent.
	ErrCorrupt = errors.New("answer does not match its length and sum")
	// ErrFrameOrder means that the frames of an answer are out of order.
	ErrFrameOrder = errors.New("frame out of order")
	// ErrAnswerTooLong means that an answer that is not streamed is too long.
	ErrAnswerTooLong = errors.New("answer too long")
	// ErrCallerDisconnected means that the caller takes no more of the answer.
	ErrCallerDisconnected = errors.New("caller is gone")
	// ErrQuarantined means that the request has crashed upstreams.
	ErrQuarantined = errors.New("request is quarantined after crashes of upstreams")
)

// NotRunCause is why an attempt is known not to have run.
type NotRunCause uint8

// The causes, of which each proves that the engine has not seen the attempt and
// never will. Nothing else proves it: a stream that breaks once the attempt was
// opened leaves its outcome unknown.
const (
	// CauseUnsent means that the entry sent the attempt to no sidecar.
	CauseUnsent NotRunCause = iota + 1
	// CauseRefused means that the sidecar refused before the engine saw it.
	CauseRefused
	// CauseWithheld means that the entry withheld what lets a reserved attempt
	// start.
	CauseWithheld
)

// AttemptError is an attempt that gave no answer.
type AttemptError struct {
	// Outcome is NotRun or Unknown.
	Outcome foxtailstack.Outcome
	// Cause is set if the outcome is NotRun.
	Cause  NotRunCause
	Reason upstream.Reason
	// Retry is when the upstream may take the request; zero if it did not say.
	Retry time.Duration
	Err   error
}

// Error returns the text of the error.
func (e *AttemptError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("attempt %s: %v", e.Outcome, e.Err)
	}
	return fmt.Sprintf("attempt %s: %s", e.Outcome, e.Reason)
}

// Unwrap returns the cause of the error.
func (e *AttemptError) Unwrap() error {
	return e.Err
}

// lost reports whether the stream broke after the attempt could have started.
func (e *AttemptError) lost() bool {
	return e.Outcome == foxtailstack.Unknown && e.Reason == upstream.ReasonConnectionLost
}

// crashed reports whether the attempt may have crashed its upstream.
func (e *AttemptError) crashed() bool {
	return e.lost() || e.Outcome == foxtailstack.Unknown && e.Reason == upstream.ReasonCrashed
}

// notRun says that a reserved attempt was not let start.
func notRun(reason upstream.Reason, retry time.Duration, err error) *AttemptError {
	return didNotRun(CauseWithheld, reason, retry, err)
}

// unsent says that an attempt was sent to no sidecar.
func unsent(reason upstream.Reason, retry time.Duration, err error) *AttemptError {
	return didNotRun(CauseUnsent, reason, retry, err)
}

// refusedBy says that a sidecar refused an attempt.
func refusedBy(refusal *upstream.Refusal) *AttemptError {
	return didNotRun(CauseRefused, refusal.Reason, refusal.RetryAfter, nil)
}

// didNotRun is the one place that says that an attempt has not run.
func didNotRun(cause NotRunCause, reason upstream.Reason, retry time.Duration, err error) *AttemptError {
	return &AttemptError{
		Outcome: foxtailstack.NotRun,
		Cause:   cause,
		Reason:  reason,
		Retry:   retry,
		Err:     err,
	}
}

// unknown says that a request may have run.
func unknown(reason upstream.Reason, err error) *AttemptError {
	return &AttemptError{
		Outcome: foxtailstack.Unknown,
		Reason:  reason,
		Err:     err,
	}
}
