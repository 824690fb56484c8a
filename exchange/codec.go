package exchange

import (
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// RequestID identifies one request of a caller. A retry by the caller has a new
// ID; further attempts by the gateway have the same one.
type RequestID string

// PromptPart identifies one part of a prompt by its content. Prompts share parts.
type PromptPart string

// RequestInfo is the content of the header of a caller's request.
type RequestInfo struct {
	ID RequestID
	// APIKey is the secret of the caller's team.
	APIKey string
	// Timeout is how long the caller waits; zero if unknown.
	Timeout time.Duration
	// LastEventID is the ID of the last event of a stream that the caller received; it
	// is valid only if HasLastEvent is set.
	LastEventID  int64
	HasLastEvent bool
	// PromptTokens is the length of the prompt; zero if unknown. MaxOutputTokens is
	// the limit on the length of the output; zero if there is none.
	PromptTokens    foxtailstack.Tokens
	MaxOutputTokens foxtailstack.Tokens
	// ExpectedOutputTokens is the caller's estimate of the length of the output;
	// zero if unknown.
	ExpectedOutputTokens foxtailstack.Tokens
	// SharedParts holds the parts of the prompt in their order, except the last one,
	// which no other request has.
	SharedParts []PromptPart
}

// Attempt is the information that the system adds to one attempt at a request.
type Attempt struct {
	Upstream foxtailstack.UpstreamName
	// Timeout is the time that the upstream has for the request.
	Timeout time.Duration
	// Team is empty for routes that need no key.
	Team foxtailstack.TeamName
	// LastEventID is the ID of the last event that the caller received; it is
	// valid only if HasLastEvent is set.
	LastEventID  int64
	HasLastEvent bool
	// Urgency is the urgency of the request; zero is the most urgent. It is sent only if
	// Ranked is set, which it is if the upstream gets requests of different urgency.
	Urgency int
	Ranked  bool
}

// Load is the load that an upstream reports: the number of requests that it runs,
// the number that wait at it, and the number that it can run at once.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ResponseInfo is the content of the header of an upstream's response.
type ResponseInfo struct {
	// ID is the request that the response belongs to.
	ID RequestID
	// OriginProven is set if the response carries the proof that the upstream
	// produced it.
	OriginProven bool
	// NotRun is set if the upstream states that it has not run the request and never will.
	NotRun bool
	// Misdirected is set if another upstream has the address now. Without NotRun the request
	// may have run there.
	Misdirected bool
	// RetryAfter is the time for which the upstream, which refused the request with a
	// status for that, wants no other; zero if it does not say.
	RetryAfter time.Duration
	// Leaving is set if the upstream says that it is about to end.
	Leaving bool
	// Limit is the rate of requests that the upstream takes from all callers together; zero
	// if it names none.
	Limit foxtailstack.RequestRate
	// ColdFor is how much longer the upstream is cold, if it says so; zero otherwise.
	ColdFor time.Duration
	// ContentEncoded is set if the body was encoded after the upstream produced
	// it.
	ContentEncoded bool
	// Culprit is the upstream that keeps a group from working; empty if none is
	// reported.
	Culprit foxtailstack.UpstreamName
	// Load is the load that the upstream reports; nil if it reports none.
	Load *Load
	// IdleTimeout is how long the upstream keeps an idle connection open; zero if
	// unknown.
	IdleTimeout time.Duration
}

// Codec converts between HTTP headers and their content.
type Codec interface {
	// DecodeRequest decodes the header of a caller's request.
	DecodeRequest(h http.Header) RequestInfo
	// RequestHeader returns the header of an attempt, derived from that of the
	// caller.
	RequestHeader(caller http.Header, attempt Attempt) http.Header
	// DecodeResponse decodes the status and header of an upstream's response.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the header of the response to the caller, derived
	// from that of the upstream.
	ResponseHeader(upstream http.Header) http.Header
}
