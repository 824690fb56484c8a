// Package balance chooses the upstream for each attempt.
//
// # Scope
//
// A Chooser asks the sidecars of a few candidates for their load, picks one by
// expected wait, cache affinity and distance, and ejects upstreams that fail or
// slow down.
package balance
