// Package foxtailstack defines the types and interfaces that the packages of the
// load balancer share.
//
// # Scope
//
// The package defines named types for identifiers and units, the outcome of a
// request, and the interfaces that have more than one implementation: the platform's
// transactional table, object store, weight store, list of instances and model
// engine, and the policies, Balancer and Planner. It does no input or output of its
// own.
//
// # Notation
//
// An instance is one machine with its address, an upstream is a back end that
// requests are routed to, a data centre is a failure zone, and a team is a tenant. A
// rank is one member of a group of upstreams that work in lock-step. See
// docs/GLOSSARY.md.
package foxtailstack
