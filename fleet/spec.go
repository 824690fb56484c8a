package fleet

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Duration is a time.Duration that JSON writes as text, such as "1.5s".
type Duration time.Duration

// MarshalText returns the text of d.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText sets d from its text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%w: duration %q", ErrInvalid, text)
	}
	*d = Duration(parsed)
	return nil
}

// Spec is the declared state of a resource.
type Spec interface {
	// Check returns an error that wraps ErrInvalid for each field that is wrong.
	Check() error
}

// Fleet is the declared state of a routing fleet.
type Fleet struct {
	// Skew and Moves weigh step-time skew against the cost of moving experts.
	Skew  float64 `json:"skew,omitempty"`
	Moves float64 `json:"moves,omitempty"`
	// Cap is the highest number of experts moved in one plan; zero means no cap.
	Cap int `json:"cap,omitempty"`
	// Quiet lists the hours of the day, in UTC, in which no expert moves.
	Quiet []int `json:"quiet,omitempty"`
}

// Check checks the fields of f.
func (f Fleet) Check() error {
	var errs []error
	if f.Skew < 0 || f.Moves < 0 || f.Cap < 0 {
		errs = append(errs, fmt.Errorf("%w: skew, moves and cap must not be negative", ErrInvalid))
	}
	for _, hour := range f.Quiet {
		if hour < 0 || hour > 23 {
			errs = append(errs, fmt.Errorf("%w: quiet hour %d is not in 0 to 23", ErrInvalid, hour))
		}
	}
	return errors.Join(errs...)
}

// Service is the declared state of a service.
type Service struct {
	// Path is the path of calls at the engine.
	Path string `json:"path"`
	// Policy names a policy of the same fleet.
	Policy foxtailstack.PolicyName `json:"policy"`
	// Model, Adapter and Version are what the engines must have loaded; empty
	// for plain services.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Down is the highest share of upstreams taken out of service at once.
	Down float64 `json:"down,omitempty"`
}

// Check checks the fields of s.
func (s Service) Check() error {
	var errs []error
	if len(s.Path) == 0 || s.Path[0] != '/' {
		errs = append(errs, fmt.Errorf("%w: path %q does not begin with a slash", ErrInvalid, s.Path))
	}
	if !partPattern.MatchString(string(s.Policy)) {
		errs = append(errs, fmt.Errorf("%w: policy %q is not a name", ErrInvalid, s.Policy))
	}
	if s.Down < 0 || s.Down > 1 {
		errs = append(errs, fmt.Errorf("%w: down %g is not in 0 to 1", ErrInvalid, s.Down))
	}
	return errors.Join(errs...)
}

// Upstream is the declared state of an upstream.
type Upstream struct {
	// Address is where the sidecar listens for other processes.
	Address foxtailstack.Address    `json:"address"`
	Centre  foxtailstack.DataCentre `json:"centre"`
	// Slots is how many calls the engine runs at once.
	Slots int `json:"slots"`
	// Drain sends no new work to the upstream.
	Drain bool `json:"drain,omitempty"`
	// Group and Rank place the upstream in an expert-parallel group.
	Group string            `json:"group,omitempty"`
	Rank  foxtailstack.Rank `json:"rank,omitempty"`
}

// Check checks the fields of u.
func (u Upstream) Check() error {
	var errs []error
	if _, _, err := net.SplitHostPort(string(u.Address)); err != nil {
		errs = append(errs, fmt.Errorf("%w: address %q is not host:port", ErrInvalid, u.Address))
	}
	if u.Centre == "" {
		errs = append(errs, fmt.Errorf("%w: centre is missing", ErrInvalid))
	}
	if u.Slots < 1 {
		errs = append(errs, fmt.Errorf("%w: slots %d is not positive", ErrInvalid, u.Slots))
	}
	if u.Rank < 0 {
		errs = append(errs, fmt.Errorf("%w: rank %d is negative", ErrInvalid, u.Rank))
	}
	return errors.Join(errs...)
}

// Policy is the declared state of a policy.
type Policy struct {
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Attempts is the highest number of attempts; zero means three.
	Attempts int `json:"attempts,omitempty"`
	// Deadline is the time for a request that names none; zero means 30 s.
	Deadline Duration `json:"deadline,omitempty"`
	// Budget is the share of recent successes that may be retried; zero means 0.1.
	Budget float64 `json:"budget,omitempty"`
}

// Check checks the fields of p.
func (p Policy) Check() error {
	if p.Attempts < 0 || p.Deadline < 0 || p.Budget < 0 || p.Budget > 1 {
		return fmt.Errorf("%w: attempts and deadline must not be negative, budget must be in 0 to 1", ErrInvalid)
	}
	return nil
}

// Access is what an operator's token allows.
type Access string

// The levels of access.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
	AccessAdmin Access = "admin"
)

// Operator is a token that may use the resource API, kept as its hash.
type Operator struct {
	Hash   string `json:"hash"`
	Access Access `json:"access"`
}

// Team is the declared state of a team.
type Team struct {
	// Weight is the share of the team where several compete; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// Tokens is the limit in model tokens a second; zero means no limit.
	Tokens foxtailstack.Tokens `json:"tokens,omitempty"`
	// Callers are the SHA-256 hashes of callers' tokens in hexadecimal.
	Callers []string `json:"callers,omitempty"`
	// Operators are the tokens for the resource API.
	Operators []Operator `json:"operators,omitempty"`
	// Fleets are the fleets whose services the team may call; empty means all.
	Fleets []foxtailstack.FleetName `json:"fleets,omitempty"`
}

// Check checks the fields of t.
func (t Team) Check() error {
	var errs []error
	if t.Weight < 0 || t.Tokens < 0 {
		errs = append(errs, fmt.Errorf("%w: weight and tokens must not be negative", ErrInvalid))
	}
	hashes := append([]string(nil), t.Callers...)
	for _, operator := range t.Operators {
		hashes = append(hashes, operator.Hash)
		switch operator.Access {
		case AccessRead, AccessWrite, AccessAdmin:
		default:
			errs = append(errs, fmt.Errorf("%w: access %q is not read, write or admin", ErrInvalid, operator.Access))
		}
	}
	for _, hash := range hashes {
		if b, err := hex.DecodeString(hash); err != nil || len(b) != hashSize {
			errs = append(errs, fmt.Errorf("%w: hash %q is not %d bytes in hexadecimal", ErrInvalid, hash, hashSize))
		}
	}
	return errors.Join(errs...)
}

// hashSize is the length of the hash of a token in bytes.
const hashSize = 32

// DecodeSpec returns the checked spec of a resource of a kind. Unknown fields
// are errors, which wrap ErrInvalid.
func DecodeSpec(kind Kind, data []byte) (Spec, error) {
	switch kind {
	case KindFleet:
		return decodeSpec[Fleet](data)
	case KindService:
		return decodeSpec[Service](data)
	case KindUpstream:
		return decodeSpec[Upstream](data)
	case KindPolicy:
		return decodeSpec[Policy](data)
	case KindTeam:
		return decodeSpec[Team](data)
	}
	return nil, fmt.Errorf("%w: unknown kind %q", ErrInvalid, kind)
}

// decodeSpec decodes and checks a spec of type S.
func decodeSpec[S Spec](data []byte) (Spec, error) {
	err := checkDocument(data)
	if err != nil {
		return nil, err
	}
	var spec S
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&spec)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return spec, spec.Check()
}
