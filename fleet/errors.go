package fleet

import "errors"

// Errors of this package. Test for them with errors.Is.
var (
	// ErrInvalid means that a resource or a request is malformed.
	ErrInvalid = errors.New("invalid")
	// ErrNotFound means that there is no such resource.
	ErrNotFound = errors.New("resource not found")
	// ErrStale means that the resource has another version than the expected one.
	ErrStale = errors.New("resource has changed")
	// ErrUncertain means that a change may or may not have been accepted.
	ErrUncertain = errors.New("unknown whether the change was accepted")
	// ErrUnavailable means that the change was not accepted; it may be tried again.
	ErrUnavailable = errors.New("configuration cannot be changed now")
	// ErrReference means that a change would leave a reference to an absent resource.
	ErrReference = errors.New("unresolved reference")
	// ErrRepeated means that another request has used the idempotency key.
	ErrRepeated = errors.New("idempotency key was used for another request")
	// ErrGap means that the change log no longer reaches back far enough.
	ErrGap = errors.New("change log does not reach back to the revision")
)
