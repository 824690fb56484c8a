package foxtailstack

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Errors of an Engine. Test for them with errors.Is.
var (
	// ErrEngineRefused means that the engine rejected the call without running it.
	ErrEngineRefused = errors.New("engine refused the call")
	// ErrEngineFailed means that the engine failed after it received the call.
	ErrEngineFailed = errors.New("engine failed")
	// ErrEngineLost means that the connection to the engine broke. It wraps
	// ErrEngineFailed.
	ErrEngineLost = fmt.Errorf("connection lost: %w", ErrEngineFailed)
	// ErrEngineMismatch means that the answer of the engine belongs to another attempt,
	// or that an event of a stream is out of sequence.
	ErrEngineMismatch = errors.New("engine answered another attempt")
	// ErrEngineFenced means that the engine has seen a higher fencing token.
	ErrEngineFenced = errors.New("engine has a newer holder")
)

// Priority orders the requests of one team; a higher one is served first.
type Priority int8

// EngineCall is an attempt in the form that an engine or a plain service receives.
type EngineCall struct {
	Attempt     AttemptID
	Team        TeamName
	Path        string
	ContentType string
	Body        []byte
	Priority    Priority
	// Stream asks for the answer as server-sent events.
	Stream bool
	// ReceivedEvents is the number of events of the stream that the caller has received
	// already.
	ReceivedEvents uint64
	// Fencing is the fencing token of the call: the ordinal of its claim on the key
	// Booking. It is zero for idempotent calls.
	Fencing FencingToken
	// Booking is the key under which the call is claimed; empty for idempotent calls.
	Booking string
}

// EngineAnswer is the answer of an engine. The receiver must close Body.
type EngineAnswer struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// EngineLoad is a load report of an engine. It lags behind the actual load.
type EngineLoad struct {
	// Running and Waiting are the numbers of calls that the engine runs and queues.
	Running int
	Waiting int
	// Experts is the number of tokens routed to each expert since the last report.
	Experts []Tokens
	// At is the time of the report by the clock of the engine.
	At time.Time
}

// EngineState is what an engine has loaded.
type EngineState struct {
	// Model, Adapter and Version name what is loaded, as the configuration declares
	// it. Version is not a Version of this package, which counts writes to a row.
	Model   string
	Adapter string
	Version string
	// Role is the engine's own; an order hands it back as reported. It is not a Role
	// of this package.
	Role string
	// Fencing is the fencing token of the order, and in a state that the engine reports
	// that of the last order that it accepted.
	Fencing FencingToken
}

// Engine is a model engine or a plain service beside a sidecar.
type Engine interface {
	// Run passes a call to the engine. Canceling ctx cancels the call.
	Run(ctx context.Context, call EngineCall) (EngineAnswer, error)
	// Load returns the last load report of the engine.
	Load(ctx context.Context) (EngineLoad, error)
	// State returns what the engine has loaded.
	State(ctx context.Context) (EngineState, error)
	// Order asks the engine to load what want describes. It returns ErrEngineFenced if
	// the engine checks fencing tokens and has seen a higher one than that of want.
	Order(ctx context.Context, want EngineState) error
}
