package foxtailstack

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Errors that an Engine returns. Test for them with errors.Is.
var (
	// ErrEngineRefused means that the engine turned the call away unrun.
	ErrEngineRefused = errors.New("engine refused the call")
	// ErrEngineFailed means that the engine broke off after it saw the call.
	ErrEngineFailed = errors.New("engine failed")
	// ErrEngineLost means that the connection to the engine broke. It wraps
	// ErrEngineFailed.
	ErrEngineLost = fmt.Errorf("connection lost: %w", ErrEngineFailed)
	// ErrEngineMismatch means that the answer belongs to another attempt.
	ErrEngineMismatch = errors.New("engine answered another attempt")
	// ErrEngineFenced means that the engine has seen a higher fencing number.
	ErrEngineFenced = errors.New("engine has a newer holder")
)

// Priority orders the requests of one team; a higher one is served first.
type Priority int8

// EngineCall is one attempt as an engine or a plain service receives it.
type EngineCall struct {
	Attempt     AttemptID
	Team        TeamName
	Path        string
	ContentType string
	Body        []byte
	Priority    Priority
	// Stream asks for the answer as server-sent events.
	Stream bool
	// Resume is the number of events that the caller already has.
	Resume uint64
	// Fencing is the number of the claim among the claims of Booking; zero for
	// idempotent calls.
	Fencing FencingToken
	// Booking is the key that the call is made under; empty for idempotent calls.
	Booking string
}

// EngineAnswer is the answer of an engine. The receiver closes Body.
type EngineAnswer struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// EngineLoad is a load report, which lags behind the truth.
type EngineLoad struct {
	Running int
	Waiting int
	// Experts is the count of tokens routed to each expert since the last report.
	Experts []Tokens
	At      time.Time
}

// EngineState is what an engine has loaded.
type EngineState struct {
	Model   string
	Adapter string
	Version string
	Role    string
	Fencing FencingToken
}

// Engine is a model engine or a plain service beside a sidecar.
type Engine interface {
	// Run hands one call to the engine. A canceled ctx cancels the call.
	Run(ctx context.Context, call EngineCall) (EngineAnswer, error)
	// Load returns the last load report.
	Load(ctx context.Context) (EngineLoad, error)
	// State returns what is loaded.
	State(ctx context.Context) (EngineState, error)
	// Order asks the engine to load want. It returns ErrEngineFenced if the
	// engine checks fencing numbers and want carries an old one.
	Order(ctx context.Context, want EngineState) error
}
