// Package dispatch decides which upstream a request is sent to, and when.
//
// # Scope
//
// A Scheduler tracks the requests that this process has at each upstream, the load
// that the upstreams reported last, and which upstreams fail. Acquire returns a
// Reservation, the right to send one request to one upstream, and queues the request
// while no upstream has room. Every Reservation must be released once. A RetryBudget
// limits retries. The package does no input or output.
//
// # Terms
//
// A group is a set of upstreams, its ranks, that work in lock-step. One iteration of
// a group is a pass; it takes as long as the slowest rank, and each stream gets one
// event from it. The planner of a group reports the load of all its ranks in a
// status. An entry is a process that accepts requests; all entries send to the same
// groups, and each has a Scheduler of its own.
//
// A rank is silent if the last status of its group did not list it, or if a request
// at it stalled, and slow if its reported slowdown is slowThreshold or more. Silent
// and slow ranks get no requests for a time, with two exceptions: if too many ranks
// are missing from a status, it makes none of them silent (see maxSilentDivisor),
// and if too many are slow, they get requests all the same (see maxSlowDivisor). An
// upstream is avoided, that is, used only if there is no other, for a time after it
// refused a request, and while it is ejected: after a connection to it failed or its
// address was found to belong to another upstream. A request is late once its soft
// deadline has passed. It has begun if an upstream may have run it in part; such requests
// come before all others.
package dispatch
