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
	// ErrBroken means that an answer ended before its last frame.
	ErrBroken = errors.New("answer was cut short")
	// ErrCorrupt means that an answer differs from what the sidecar sent.
	ErrCorrupt = errors.New("answer does not match its length and sum")
)

// AttemptError is an attempt that gave no answer.
type AttemptError struct {
	// Outcome is NotRun or Unknown.
	Outcome foxtailstack.Outcome
	Reason  upstream.Reason
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

// notRun is the one place that says a request has not run.
func notRun(reason upstream.Reason, retry time.Duration, err error) *AttemptError {
	return &AttemptError{
		Outcome: foxtailstack.NotRun,
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
