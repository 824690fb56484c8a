// Package fleet keeps the configuration that operators declare: fleets,
// services, upstreams, policies and teams.
//
// # Scope
//
// A Store commits changes to the table, one transaction each. A Replica holds
// the configuration of one process as immutable snapshots, whose revisions only
// rise, and a Spreader keeps it up to date: from the table, or from a relay, which
// is another process. The API lets operators read and change resources and watch
// how far a change has spread.
//
// # Notation
//
// A resource has a kind and a name. The name of a service or a policy is
// fleet/name and that of an upstream is fleet/service/name. A revision numbers
// the states of the whole configuration; a version counts the changes to one
// resource. The root of a tree of processes is the one that reads the table; it
// and those between relay changes to their followers. See docs/design/fleet.md.
package fleet
