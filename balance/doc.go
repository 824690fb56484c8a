// Package balance chooses the upstream for each attempt of a request.
//
// # Scope
//
// Most programs use a Chooser: it runs in an entry process, maintains a Directory
// and probes the sidecars of candidates for their load. A Directory holds the
// address, the last observed load and the calls in flight from this entry of each
// upstream, and the health of each upstream, judged by the results of its attempts.
// For each attempt it selects a few candidates and picks the one of lowest cost. A
// Directory does no input or output and reads no clock, so that simulations can
// run it in virtual time.
//
// # Notation
//
// A probe is a request for the load of an upstream. A trial call is a call of a
// caller that is sent to an upstream in the state HalfOpen. The affinity
// candidates of a prefix are the upstreams in the data centre of the entry with
// the highest rendezvous hashing scores for it. An endpoint is an upstream
// together with the state that this entry has observed. The cost of a candidate
// is the sum of its expected queueing time, the time to compute a prefix that is
// not in its cache, and its round-trip time.
//
// # Related packages
//
// Package node gives a Chooser to the Server of package entry. The entries that
// package machine runs on the platform's machines use package dispatch instead.
package balance
