// Package entry takes callers' requests and gives each its own whole answer.
//
// # Scope
//
// A Server authenticates the caller, finds the service and its policy, and
// makes attempts on upstreams until one answers or no further attempt is
// allowed. Only a request that is known not to have run, or one whose policy
// calls it idempotent, gets another attempt.
package entry
