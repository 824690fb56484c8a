// Package route holds the configuration that decides where a request may be sent:
// routes, services, teams with their keys, and the upstreams of each service.
//
// # Scope
//
// A Config is one version of the configuration that operators publish; Match finds
// the route of a request, and Pick its service. A Fleet is the list of upstreams
// that the platform reported last; Ready returns those of a service. Both are
// immutable once built and are shared by all requests of a process. The package does
// no input or output.
package route
