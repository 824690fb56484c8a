package foxtailstack

import "fmt"

// Outcome reports whether a request ran, as far as that is known.
type Outcome uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request has not run and will not run.
	NotRun
	// Ran means that the request ran to completion: exactly once, or at least once if
	// it is idempotent, since an earlier attempt of unknown outcome may have run too.
	Ran
)

// outcomeNames holds the names of the outcomes as callers see them.
var outcomeNames = [...]string{
	Unknown: "unknown",
	NotRun:  "notrun",
	Ran:     "ran",
}

// String returns the name of the outcome as callers see it.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}
