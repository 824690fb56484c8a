// Package entry serves the requests of callers. Each caller receives the complete
// answer to its own request or an error.
//
// # Scope
//
// A Server authenticates the caller, finds the service and its policy, and makes
// attempts on upstreams until one is answered or no further attempt is allowed. A
// request is attempted again only if it is certain that no attempt of it has run, or
// if its policy declares it idempotent. A Chooser picks the upstream of each attempt
// and a Limiter enforces the rate limits of teams.
//
// # Related packages
//
// Package node runs a Server with the Chooser of package balance. The entries that
// package machine runs on the platform's machines use packages gateway and dispatch
// instead.
package entry
