// Package balance chooses the upstream for each attempt.
//
// # Scope
//
// A Directory is what one entry knows of the upstreams: where they are, the
// loads that probes saw, the calls in flight from this entry, and the health of
// each by its own traffic. It proposes a few candidates for an attempt and picks
// the cheapest. It does no input or output and reads no clock, so that
// experiments run it in virtual time. A Chooser runs a Directory in an entry and
// asks the sidecars of candidates for their load.
//
// # Notation
//
// The home of a prefix is the upstream that rendezvous hashing ranks first for
// it among those in the data centre of the entry. A sighting is the load that a
// probe saw. The cost of a candidate is the sum of its expected wait, the time
// lost to a prefix that it does not hold, and the way to it and back.
package balance
