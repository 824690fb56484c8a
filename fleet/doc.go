// Package fleet keeps the configuration that operators declare: fleets,
// services, upstreams, policies and teams.
//
// # Scope
//
// A Store commits changes to the table, one transaction each. A Replica holds
// the configuration of one process as immutable snapshots, whose revisions only
// rise. The API lets operators read and change resources.
//
// # Notation
//
// A resource has a kind and a name. The name of a service or a policy is
// fleet/name and that of an upstream is fleet/service/name. A revision numbers
// the states of the whole configuration; a version counts the changes to one
// resource.
package fleet
