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
// An instance is a machine, listed by the platform with the address of the process of
// the system that runs on it. An upstream is a back end that requests are routed to, a
// data centre is a failure zone, and a team is a tenant. A fleet, in the configuration,
// is a set of services with the policies for their use.
//
// A group is a set of upstreams, its ranks, that work in lock-step. One iteration of a
// group is a pass; its number is a Step. See docs/GLOSSARY.md.
package foxtailstack
