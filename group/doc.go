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
// before a pass H that lies ahead, every rank is armed to change maps at H, and the
// group is released only when all ranks are armed. So no pass begins with two maps,
// even if orders are lost, repeated or delayed:
//
//   - A delayed order to arm either arrives after H has begun and is refused, or
//     finds the rank armed for the same map and pass, or the switch has been
//     undone and the order is refused for its fencing token (see below).
//   - Once an order to arm may have been sent for H, H begins with that map only,
//     unless the switch is undone: any planner arms all other ranks before it
//     releases the group. The map is the highest that every rank has prepared,
//     which every planner determines identically from the reports.
//   - The proposer of a map is the planner that computed it. The rank beside the
//     proposer is armed last, by the sidecar of another rank, which records the
//     order before it sends it. So while the proposer's machine is frozen, a planner
//     that takes over can tell whether the switch can be undone or has to be
//     completed. If a sidecar has restarted and lost its record, this cannot always
//     be told, and the group waits for the rank.
//   - Before a planner acts, it makes its fencing token known to every rank and
//     sidecar that answered its survey. They refuse orders to arm, and orders to
//     delegate one, of an earlier planner that arrive late, so a switch that was
//     undone stays undone.
//   - Orders carry the number of the group's formation. A new formation starts
//     with InitialMap and without prepared maps, armed ranks or holds of the one
//     before, and ranks refuse orders of an earlier formation.
//
// # Notation
//
// A formation is one opening of a group, numbered. A pass is one lock-step iteration
// of all ranks, numbered by its step. A layer set is a set of layers that
// share their experts; each layer set has experts of its own.
package group
