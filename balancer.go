package foxtailstack

import "time"

// Candidate is an upstream that a request may be sent to, with the last state that
// was observed of it.
type Candidate struct {
	Name    UpstreamName
	Address Address
	Centre  DataCentre
	// Wait is the expected time in the upstream's queue.
	Wait time.Duration
	// WaitAge is the time since Wait was observed. WaitKnown reports whether it ever
	// was.
	WaitAge   time.Duration
	WaitKnown bool
	// RoundTripTime is the network round-trip time to the upstream.
	RoundTripTime time.Duration
	// PrefixMissCost is the expected time lost because the upstream does not have the
	// prefix of the prompt in its cache.
	PrefixMissCost time.Duration
}

// Balancer selects the upstream for an attempt.
type Balancer interface {
	// Pick returns the index of the selected candidate. The caller passes at least one.
	Pick(candidates []Candidate) int
}
