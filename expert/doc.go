// Package expert maintains the expert map of a group of ranks: it collects the
// loads of the experts, plans new maps and switches all ranks from one map to
// the next at the same step.
//
// # Overview
//
// A sidecar creates an Agent, which runs one rank's part of the switch. The
// Agent drives a Member, the state machine of the switch protocol, which does no
// input or output itself, and a Proposer, which makes all ranks load the
// weights of a new map (staging) and then starts the vote. PeerTransport and
// Inbox carry the messages, and Store holds the proposed maps.
//
// Collector sums the loads that the ranks measure, and Smoother averages them.
// Adaptive plans maps from the averages; Static and Repack are baselines to
// compare Adaptive with. PreferredPlanner chooses the rank that plans.
//
// # Terms
//
// An epoch numbers the maps of a group. A step numbers the passes of its engines,
// the lock-step iterations; in this package, a step is a pass. A generation
// numbers the runs of one rank's sidecar. A generation is superseded once a peer
// has seen a later one of the same rank.
//
// A rank stages a map when it loads the weights that the map gives it. An
// attempt is one vote of all ranks on switching from the map of a base epoch to
// that of another epoch at a given step. A ballot orders attempts by epoch and,
// for the same epoch, by try. A rank confirms an attempt once it has seen the yes
// votes of all ranks. A rank is in doubt from its yes vote until it learns the
// outcome of the attempt. An attempt is undecided for a rank that does not know
// its outcome.
//
// A rank that restarts collects the state of the group from its peers before its
// first step (recovery). If a peer has seen a yes vote of an earlier generation
// of the rank, the rank reaffirms it: it votes yes again. A cold start is the
// start of a group in which no rank knows of a map.
//
// # Protocol
//
// The switch is an atomic commitment: an attempt commits if and only if all
// ranks vote yes, as in decentralised two-phase commit (Skeen, Nonblocking
// Commit Protocols, 1981). A second round, in which the ranks confirm that they
// have seen all votes, precedes the switch.
package expert
