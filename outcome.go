package foxtailstack

import "fmt"

// Outcome says what is known about the run of a request.
type Outcome uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the request ran to its end, once.
	Ran
)

// outcomeNames holds the text of each Outcome.
var outcomeNames = [...]string{
	Unknown: "unknown",
	NotRun:  "notrun",
	Ran:     "ran",
}

// String returns the name that callers see.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}
