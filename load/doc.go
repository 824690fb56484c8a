// Package load generates load on a service with concurrent callers and verifies
// that each caller receives the complete response to its own request.
//
// # Scope
//
// The engines behind the service must be the stand-ins of package
// platform/standin, whose responses are predictable. A run is limited in time and
// in the number of requests.
package load
