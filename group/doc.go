// Package group adapts the expert maps of one model group to shifting demand.
//
// # Scope
//
// Each rank of the group has a sidecar, and a Candidate beside each sidecar
// competes to run the group's Planner. The planner surveys all ranks, estimates
// the demand for experts, computes maps and switches the group from one map to the
// next. A row in the platform's store elects the planner. The version of the row is
// the fencing token of all its orders, and the ranks refuse orders with a lower
// token. Nothing else about a switch is stored: a planner that takes over learns
// the state of the group from the ranks' reports.
//
// Entries use a Watcher to receive the status of the groups behind a service.
//
// # The switch
//
// Every rank first prepares the map. Then one rank is ordered to hold the group
// before a step H that lies ahead, every rank is armed to change maps at H, and the
// group is released only when all ranks are armed. So no pass begins with two maps,
// even if orders are lost, repeated or delayed:
//
//   - A delayed order to arm either arrives after H has begun and is refused, or
//     finds the rank armed for the same map and step.
//   - Once an order to arm may have been sent for H, H begins with that map only:
//     any planner arms all other ranks before it releases the group. The map is the
//     highest that every rank has prepared, which all planners find alike.
//   - The proposer of a map is the planner that computed it. The rank beside the
//     proposer is armed last, by the sidecar of another rank, which records the
//     order. So while the proposer's machine is frozen, a planner that takes over
//     can tell whether the switch can be undone or has to be completed.
//   - Orders carry the number of the group's formation. A new formation starts
//     without maps, armed ranks or holds from the one before.
//
// # Notation
//
// A formation is one opening of a group, numbered. A pass is one lock-step iteration
// of all ranks, numbered by a step. A layer set is a set of layers that
// share their experts; each layer set has experts of its own.
package group
