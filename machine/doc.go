// Package machine runs the processes of the system on the platform's machines.
//
// # Scope
//
// An Entry receives callers' requests and sends them to upstreams. A Sidecar runs
// beside an upstream and takes part in planning and switching the expert maps of the
// upstream's group. Both are set up from the platform's settings file and follow the
// configuration and the list of upstreams in the platform's store.
//
// The package connects the parts, serves readiness and metrics, and orders start and
// shutdown. Routing, queueing and planning are done by the packages that it connects.
package machine
