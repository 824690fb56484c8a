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

// bytesPerToken estimates the length of a token of a prompt in bytes.
const bytesPerToken = 4

// Query asks for an upstream for one attempt.
type Query struct {
	Service fleet.ServiceID
	// Prompt is the body of the request, whose prefix decides cache affinity.
	Prompt []byte
	// Tried are the upstreams of the attempts before, to be avoided.
	Tried []foxtailstack.UpstreamName
}

// AttemptResult is how an attempt went.
type AttemptResult struct {
	Outcome foxtailstack.Outcome
	// Refused is set if the sidecar itself refused the attempt.
	Refused bool
	// Crashed is set if the upstream crashed while it ran the attempt. The
	// request may be the cause, so that this is no sign of a bad upstream.
	Crashed bool
	// Unreachable is set if no connection to the sidecar could be made.
	Unreachable bool
	// Canceled is set if the caller went away before the attempt ended.
	Canceled bool
	// Expired is set if the caller's deadline passed before the attempt ended.
	Expired bool
	// Latency is the time of the whole attempt.
	Latency time.Duration
}

// Chooser picks upstreams and learns how attempts on them went.
type Chooser interface {
	// Choose returns an upstream, or false if none takes new work.
	Choose(ctx context.Context, q Query) (fleet.Member, bool)
	// Report tells how the attempt on a chosen upstream went.
	Report(member fleet.Member, result AttemptResult)
}

// Limiter holds teams to their limits.
type Limiter interface {
	// Admit takes cost from what the team may spend. If the team is over its
	// limit, it returns false and when to come back.
	Admit(name foxtailstack.TeamName, cost foxtailstack.Tokens) (retry time.Duration, ok bool)
}

// Settler is a Limiter that takes the true cost of a request once it is known.
type Settler interface {
	// Settle replaces the estimated cost of an admitted request by its true one.
	Settle(name foxtailstack.TeamName, estimate, actual foxtailstack.Tokens)
}

// settle tells the limiter what a request cost: nothing if it has not run, and
// otherwise the tokens of the prompt and of what came back.
func (s *Server) settle(req *request, out *response, err error) {
	settler, ok := s.Limiter.(Settler)
	if !ok {
		return
	}
	actual := costOf(req) + foxtailstack.Tokens(out.length/bytesPerToken)
	var failed *AttemptError
	if errors.As(err, &failed) && failed.Outcome == foxtailstack.NotRun {
		actual = 0
	}
	settler.Settle(req.team, costOf(req), actual)
}

// resultOf returns the result of an attempt under ctx that ended with err.
func resultOf(ctx context.Context, err error, latency time.Duration) AttemptResult {
	result := AttemptResult{
		Outcome:  foxtailstack.Ran,
		Latency:  latency,
		Canceled: errors.Is(ctx.Err(), context.Canceled),
		Expired:  errors.Is(ctx.Err(), context.DeadlineExceeded),
	}
	var failed *AttemptError
	if errors.As(err, &failed) {
		result.Outcome = failed.Outcome
		result.Refused = failed.Outcome == foxtailstack.NotRun && failed.Err == nil
		result.Crashed = failed.Reason == upstream.ReasonCrashed
		result.Unreachable = errors.Is(err, wire.ErrUnreachable)
	}
	return result
}

// costOf estimates the tokens of a request before it runs.
func costOf(req *request) foxtailstack.Tokens {
	return foxtailstack.Tokens(len(req.body)/bytesPerToken + 1)
}
