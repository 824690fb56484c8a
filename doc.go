// Package foxtailstack holds the types and the interfaces that every part of
// the load balancer shares.
//
// # Scope
//
// The package defines named types for identifiers and units, the outcome of a
// request, and the interfaces whose implementations vary: the transactional
// table, the object store, the list of instances and the model engine of the
// platform, and the decisions that have more than one policy. It does no input
// or output of its own.
//
// # Notation
//
// An instance is one machine with its address, an upstream is a back end that
// requests are routed to, a data centre is a failure zone, and a team is a
// tenant. See docs/GLOSSARY.md.
package foxtailstack
