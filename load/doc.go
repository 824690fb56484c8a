// Package load sends requests to a service at many callers at once and checks
// that each caller receives its own whole answer.
//
// # Scope
//
// The engines behind the service must be the stand-ins of package
// platform/standin, whose answers can be foretold. A run is bounded in time and
// in the number of requests.
package load
