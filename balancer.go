package foxtailstack

import "time"

// Candidate is an upstream that a request may go to, as last seen.
type Candidate struct {
	Name    UpstreamName
	Address Address
	Centre  DataCentre
	// Wait is the expected wait in the queue.
	Wait time.Duration
	// WaitAge is the time since Wait was seen; Known tells whether it ever was.
	WaitAge   time.Duration
	WaitKnown bool
	// RoundTripTime is the time of the way to the upstream and back.
	RoundTripTime time.Duration
	// PrefixMissCost is the expected time lost because the upstream does not hold the
	// prefix of the prompt.
	PrefixMissCost time.Duration
}

// Balancer picks the upstream for one attempt.
type Balancer interface {
	// Pick returns the index of the chosen candidate. Candidates is not empty.
	Pick(candidates []Candidate) int
}
