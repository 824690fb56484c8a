// Package booking records non-idempotent requests so that each runs at most once.
//
// # Scope
//
// A Recorder keeps one row in the table for each idempotency key. The entry
// claims the row for one attempt on one upstream before it lets the attempt
// run. A Ledger lives in the sidecar and lets each attempt start at most once;
// it is what a later holder of the key asks.
//
// # Notation
//
// A claim names an attempt, an upstream and the incarnation of its sidecar. The
// fencing number of a claim is the version of its row.
package booking
