package quarantine

import (
	"slices"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
)

// Subject is what a request can crash an upstream by: the request as a whole, or one part
// of its prompt.
type Subject struct {
	// Request identifies equal requests.
	Request Fingerprint
	// Parts holds the parts of the prompt that other requests may have too.
	Parts []Fingerprint
}

// keys returns the fingerprints of the request and its parts.
func (s Subject) keys() []Fingerprint {
	return append([]Fingerprint{s.Request}, s.Parts...)
}

// Attempt is a request that was sent to an upstream.
type Attempt struct {
	Subject Subject
	// Trial holds the parts that the attempt tests, see Admission.
	Trial []Fingerprint
	// Progress is how far the answer had come.
	Progress Progress
}

// Progress is how far the answer to an attempt has come.
type Progress uint8

const (
	// Waiting means that nothing of the answer has arrived.
	Waiting Progress = iota
	// Started means that the header has arrived, but no content.
	Started
	// Begun means that content has arrived. The parts of such a request are not the cause
	// of a crash.
	Begun
)

// String returns the name of the progress, as it appears in the log.
func (p Progress) String() string {
	switch p {
	case Waiting:
		return "waiting"
	case Started:
		return "started"
	default:
		return "begun"
	}
}

// crashes returns the crash of an upstream under the attempt, once for each key.
func (a Attempt) crashes(u route.Upstream) []Crash {
	crash := Crash{
		Fingerprint: a.Subject.Request,
		ID:          crashIDOf(u),
		Upstream:    u.Name,
	}
	crashes := []Crash{crash}
	if a.Progress == Begun {
		return crashes
	}
	for _, part := range a.Subject.Parts {
		crash.Fingerprint = part
		crash.Kind = KindPart
		if a.Progress == Started {
			crash.Kind |= KindStarted
		}
		if slices.Contains(a.Trial, part) {
			crash.Kind |= KindTrial
		}
		crashes = append(crashes, crash)
	}
	return crashes
}

// Kind states what a crash is recorded under. The kinds of a part are flags, which all
// include KindPart.
type Kind uint8

const (
	// KindRequest is the request as a whole.
	KindRequest Kind = 0
	// KindPart is a part of the prompt of a request without content of an answer.
	KindPart Kind = 1
	// KindStarted is a KindPart of a request whose answer had started, if no answer to the
	// part is known to have begun before.
	KindStarted Kind = KindPart | 2
	// KindTrial is a KindPart of a request that tested the part.
	KindTrial Kind = KindPart | 4
)

// partKinds holds all kinds of a part.
var partKinds = []Kind{KindPart, KindStarted, KindTrial, KindTrial | KindStarted}

// has reports whether a kind includes the flags of another.
func (k Kind) has(flags Kind) bool {
	return k&flags == flags
}

// withoutStarted returns the kind without what tells KindStarted from KindPart.
func (k Kind) withoutStarted() Kind {
	if k == KindRequest {
		return k
	}
	return k&^KindStarted | KindPart
}

// String returns the name of the kind, as it appears in the log and in names of rows.
func (k Kind) String() string {
	switch k {
	case KindPart:
		return "part"
	case KindStarted:
		return "started"
	case KindTrial:
		return "trial"
	case KindTrial | KindStarted:
		return "trial-started"
	default:
		return "request"
	}
}

// CrashID identifies a crash of an upstream. Reports with the same fingerprint and
// CrashID are about one crash.
type CrashID string

// Crash is a crash of an upstream while it ran a request, recorded under the request or
// a part of its prompt.
type Crash struct {
	Fingerprint Fingerprint
	Kind        Kind
	ID          CrashID
	Upstream    foxtailstack.UpstreamName
	// Inferred is set if the crash is only inferred from a lost connection.
	Inferred bool
}
