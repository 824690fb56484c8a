// Package gateway provides the HTTP handler of an entry, which forwards callers'
// requests to upstreams and relays their responses.
//
// # Scope
//
// A Gateway matches a request to its route and team, and sends it to an upstream.
// If the attempt did not run, because the upstream could not be reached or refused
// it, the Gateway retries on every route. If the attempt may have run, it retries
// only if the route permits that, and not more often than the route allows. Retries
// of both kinds are also limited by the number of failed connections and refusals
// and, once anything was sent, by the retry budget.
// A request under which upstreams crashed before, at any entry, is refused (see package
// quarantine).
// Streams are relayed event by event and resume at another upstream after a break.
//
// The status of a failed request states whether it may have run: 503 if it did not
// run and never will, 502 or 504 if it may have run. If an upstream itself produced
// a 5xx response, the last such response is relayed instead.
//
// # Related packages
//
// Package dispatch decides to which upstream and when a request is sent, package
// watch keeps the configuration, and package exchange implements the connections
// to upstreams.
package gateway
