package foxtailstack

import "time"

// Candidate is an upstream that a request may go to, as last seen.
type Candidate struct {
	Name    UpstreamName
	Address Address
	Centre  DataCentre
	// Wait is the expected wait in the queue.
	Wait time.Duration
	// Age is the time since Wait was seen; Known tells whether it ever was.
	Age   time.Duration
	Known bool
	// Distance is the time of the way to the upstream and back.
	Distance time.Duration
	// Miss is the expected time lost because the upstream does not hold the
	// prefix of the prompt.
	Miss time.Duration
}

// Balancer picks the upstream for one attempt.
type Balancer interface {
	// Pick returns the index of the chosen candidate. Candidates is not empty.
	Pick(candidates []Candidate) int
}
