// Package gateway provides the HTTP handler of an entry, which forwards callers'
// requests to upstreams and relays their responses.
//
// # Scope
//
// A Gateway matches a request to its route and team, and sends it to an upstream.
// It retries at another upstream if the route permits retries and the request
// cannot run more often than the route allows. Streams are relayed event by event
// and resume at another upstream after a break.
//
// The status of a failed request states whether it may have run: 503 if it did not
// run and never will, 502 or 504 if it may have run.
//
// # Related packages
//
// Package dispatch decides to which upstream and when a request is sent, package
// watch keeps the configuration, and package exchange implements the connections
// to upstreams.
package gateway
