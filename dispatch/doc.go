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
package dispatch
