package gateway

import "github.com/foxtailstack/foxtailstack/exchange"

// belief is what a gateway holds to have become of a request at the upstreams. The log and the
// metrics name it, since the caller of a request that is not idempotent may be told that it has
// not run only if no upstream may have run it.
type belief uint8

const (
	// beliefNotSent means that no part of the request was written to an upstream.
	beliefNotSent belief = iota
	// beliefRefused means that it was sent, and that each upstream said that it has not run it.
	beliefRefused
	// beliefMayHaveRun means that an upstream has run it or may have.
	beliefMayHaveRun
)

// String returns the name of the belief in logs and metrics.
func (b belief) String() string {
	switch b {
	case beliefRefused:
		return "refused"
	case beliefMayHaveRun:
		return "may-have-run"
	}
	return "not-sent"
}

// belief returns what the gateway holds to have become of the request so far.
func (c *call) belief() belief {
	switch {
	case len(c.mayHaveRun) > 0:
		return beliefMayHaveRun
	case c.sendCount > 0:
		return beliefRefused
	}
	return beliefNotSent
}

// notRunBelieved reports whether the request counts as not run by an upstream, by the response
// from there. One that is not idempotent has to be sure: the upstream must state it, and the
// response must not have the proof of origin, which only those to requests that have run have.
func (c *call) notRunBelieved(in *exchange.IncomingResponse) bool {
	if c.route.Idempotent() {
		return in.NotRun || in.Misdirected
	}
	return in.NotRun && !in.OriginProven
}

// idempotent reports whether the request may run more than once. One without a route never
// runs.
func (c *call) idempotent() bool {
	return c.route == nil || c.route.Idempotent()
}
