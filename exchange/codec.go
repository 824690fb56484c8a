package exchange

import (
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// RequestID is the caller's identifier of one try of a request.
type RequestID string

// RequestInfo is what a caller says of its request.
type RequestInfo struct {
	ID RequestID
	// APIKey is the secret of the caller's team.
	APIKey string
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration
	// LastEventID is the last event of a stream that the caller has; Resumes tells
	// whether it has any.
	LastEventID  int64
	HasLastEvent bool
	// PromptTokens and Output are the tokens to read and the most to write.
	PromptTokens    foxtailstack.Tokens
	MaxOutputTokens foxtailstack.Tokens
	// ExpectedOutputTokens is the caller's guess of the tokens to write; zero if it has none.
	ExpectedOutputTokens foxtailstack.Tokens
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Upstream foxtailstack.UpstreamName
	// Timeout is the time that the upstream has.
	Timeout time.Duration
	// Team is empty for routes without a key.
	Team foxtailstack.TeamName
	// LastEventID is the last event that the caller has, if Resumes is set.
	LastEventID  int64
	HasLastEvent bool
}

// Load is what an upstream says of its own load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ResponseInfo is what the header of an answer says.
type ResponseInfo struct {
	// ID is the request that the answer belongs to.
	ID RequestID
	// OriginProven tells that the answer carries the upstream's proof.
	OriginProven bool
	// NotRun tells that the upstream has not run the request and never will.
	NotRun bool
	// Misdirected tells that another upstream has the address now.
	Misdirected bool
	// ContentEncoded tells that the body is not as the upstream made it.
	ContentEncoded bool
	// Culprit names the upstream that keeps a group from working, if any.
	Culprit foxtailstack.UpstreamName
	// Load is nil if the upstream tells none.
	Load *Load
	// KeepAlive is how long the upstream keeps an idle connection; zero if it
	// does not say.
	KeepAlive time.Duration
}

// Codec translates between headers and what they mean.
type Codec interface {
	// DecodeRequest reads the header of a caller's request.
	DecodeRequest(h http.Header) RequestInfo
	// Attempt returns the header to send to an upstream, made from the caller's.
	RequestHeader(caller http.Header, attempt Attempt) http.Header
	// Answer reads the status and header of an upstream's answer.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// Relay returns the header to send to the caller, made from an upstream's.
	ResponseHeader(upstream http.Header) http.Header
}
