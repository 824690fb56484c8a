// Package group keeps the expert maps of one model group even as demand shifts.
//
// # Scope
//
// Each rank of the group has a sidecar. One of them is the planner: it surveys
// all ranks, estimates the demand for experts, plans maps and switches the group
// from one to the next. Which sidecar plans is decided by a row in the platform's
// store, whose version is the fencing number of all its orders; the ranks refuse
// lower ones. Nothing else about a switch is stored: a planner that takes over
// finds out from the ranks' reports what holds.
//
// # The switch
//
// A map is first prepared at every rank. Then one rank is told to hold the group
// before a step H that lies ahead, every rank is armed to change maps at H, and
// only when all of them are armed is the group released. So no pass begins with
// two maps, whatever orders are lost, repeated or late:
//
//   - An order to arm that comes late finds H begun and is refused, or finds the
//     rank armed for the same map and step.
//   - Once an order to arm may have been sent for H, H begins with that map only:
//     whoever plans arms all other ranks and does not release before. The map is
//     the highest that every rank has prepared, which any planner finds alike.
//   - The rank beside the maker of the map, who is the planner that planned it, is
//     armed last and by the sidecar of another rank, which remembers that. So a
//     planner that takes over knows, while the maker's machine stands still, whether
//     the switch can be undone or has to go on.
//   - Orders name the formation of the group. A new one has forgotten all.
//
// # Notation
//
// A formation is one opening of a group, numbered; a pass is one lock-step
// iteration, numbered by a step. A set is a set of layers with experts of its own.
package group
