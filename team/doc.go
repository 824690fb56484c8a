// Package team tells which team a caller belongs to and holds teams to their
// limits.
//
// # Scope
//
// An Index finds the team of a caller's token. A Limiter holds each team to the
// model tokens a second that the configuration allows it over all entries: the
// entry that owns the team, by rendezvous hashing over the list of instances,
// keeps a Pool and hands out batches; the others keep an Account each, spend from
// their batches and ask for more before they run out.
//
// The limit is soft. An entry may spend a little before its first batch arrives,
// and a request counts by an estimate until its answer is known; both are debts
// that the next batch pays. An entry that cannot reach the owner spends its equal
// share of the limit, so that the sum stays below twice the limit; so it does
// while lists that differ name two owners.
//
// # Notation
//
// A grant is a batch of tokens from the owner, an ask the request for one. The
// share of an entry is the limit divided by the number of entries.
package team
