// Package expert maintains the expert map of a group of ranks: it collects the
// loads of the experts, plans new maps and switches all ranks from one map to
// the next at the same step.
//
// # Overview
//
// A sidecar creates an Agent, which runs one rank's part of the switch. The
// Agent drives a Member, the state machine of the switch protocol, which does no
// input or output itself, and a Proposer, which has a new map staged on all
// ranks and then voted on. Smoother averages the measured loads. Adaptive plans
// maps from them; Static and Repack are baselines to compare it with.
//
// # Terms
//
// An epoch numbers the maps of a group, and a step the lock-step iterations of
// its engines. A generation numbers the runs of one rank's sidecar. An attempt
// is one vote of all ranks on switching from the map of a base epoch to that of
// another epoch at a given step. A rank is in doubt from its yes vote until it
// learns the outcome of the attempt.
//
// # Protocol
//
// The switch is an atomic commitment: an attempt commits if and only if all
// ranks vote yes, as in decentralised two-phase commit (Skeen, Nonblocking
// Commit Protocols, 1981). A second round, in which the ranks confirm that they
// have seen all votes, precedes the switch.
package expert
