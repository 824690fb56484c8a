package entry

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
)

// bytesPerToken is the estimated average length of a token in bytes.
const bytesPerToken = 4

// Query describes the attempt that a Chooser picks an upstream for.
type Query struct {
	Service fleet.ServiceID
	// Prompt is the body of the request. Its prefix determines cache affinity.
	Prompt []byte
	// Avoid holds the upstreams to choose only if there is no other: those of
	// earlier attempts, and those that crashed while they ran an equal request.
	Avoid []foxtailstack.UpstreamName
}

// AttemptResult is the result of an attempt as reported to a Chooser.
type AttemptResult struct {
	Outcome foxtailstack.Outcome
	// Refused is set if the sidecar refused the attempt.
	Refused bool
	// Crashed is set if the upstream crashed while it ran the attempt. It says
	// nothing about the health of the upstream, since the request may be the
	// cause.
	Crashed bool
	// Unreachable is set if no connection to the sidecar could be made.
	Unreachable bool
	// Canceled is set if the caller disconnected before the attempt ended.
	Canceled bool
	// Expired is set if the caller's deadline passed before the attempt ended.
	Expired bool
	// Latency is the duration of the whole attempt.
	Latency time.Duration
}

// Chooser picks upstreams. It receives the results of the attempts on them.
type Chooser interface {
	// Choose returns an upstream, or false if none takes new work. Each call that
	// returns an upstream is followed by one call of Report.
	Choose(ctx context.Context, q Query) (fleet.Member, bool)
	// Report records the result of the attempt on a chosen upstream.
	Report(member fleet.Member, result AttemptResult)
}

// Limiter enforces the token rate limits of teams.
type Limiter interface {
	// Admit charges cost, in estimated tokens, to the team. If the team is over
	// its limit, Admit charges nothing and returns false and the time after which
	// the caller may retry.
	Admit(name foxtailstack.TeamName, cost foxtailstack.Tokens) (retryAfter time.Duration, ok bool)
}

// Settler is implemented by a Limiter that accounts for the actual cost of
// requests.
type Settler interface {
	// Settle replaces the estimated cost of an admitted request by the actual one.
	Settle(name foxtailstack.TeamName, estimate, actual foxtailstack.Tokens)
}

// settleCost passes the actual cost of a request to the limiter. The cost is zero
// if the request has not run, otherwise the estimated tokens of the prompt and of
// the received answer.
func (s *Server) settleCost(req *request, out *response, err error) {
	settler, ok := s.Limiter.(Settler)
	if !ok {
		return
	}
	actual := estimateTokens(req) + foxtailstack.Tokens(out.length/bytesPerToken)
	var attemptErr *AttemptError
	if errors.As(err, &attemptErr) && attemptErr.Outcome == foxtailstack.NotRun {
		actual = 0
	}
	settler.Settle(req.team, estimateTokens(req), actual)
}

// resultOf returns the result of an attempt that was made under ctx and ended with
// err.
func resultOf(ctx context.Context, err error, latency time.Duration) AttemptResult {
	result := AttemptResult{
		Outcome:  foxtailstack.Ran,
		Latency:  latency,
		Canceled: errors.Is(ctx.Err(), context.Canceled),
		Expired:  errors.Is(ctx.Err(), context.DeadlineExceeded),
	}
	var attemptErr *AttemptError
	if errors.As(err, &attemptErr) {
		result.Outcome = attemptErr.Outcome
		result.Refused = attemptErr.Outcome == foxtailstack.NotRun && attemptErr.Err == nil
		result.Crashed = attemptErr.Reason == upstream.ReasonCrashed
		result.Unreachable = errors.Is(err, wire.ErrUnreachable)
	}
	return result
}

// estimateTokens estimates the tokens of the prompt of a request.
func estimateTokens(req *request) foxtailstack.Tokens {
	return foxtailstack.Tokens(len(req.body)/bytesPerToken + 1)
}
