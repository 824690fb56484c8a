// Package expert keeps the expert map of a group of ranks: it collects the
// load of the experts, plans maps and switches the group from one to the next.
//
// # Scope
//
// A Member is the part of one rank in the switch protocol: a state machine
// without input or output of its own. A Proposer brings a map to a vote. A
// Planner computes maps from smoothed loads; Static and Repack are baselines.
//
// # Notation
//
// An epoch numbers the maps of a group, a step its lock-step iterations, and a
// life the incarnations of the sidecar of one rank, in order. An attempt is one
// vote of all ranks on switching from a base epoch to another at a named step.
// A rank is sealed from its yes until it knows the outcome of the attempt.
//
// The switch is atomic commitment with the outcome defined as unanimity, as in
// decentralised two-phase commit (Skeen, Nonblocking Commit Protocols, 1981),
// with a second round in which ranks confirm that they hold every vote.
package expert
