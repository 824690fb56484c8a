// Package team tells which team a caller belongs to and holds teams to their
// limits.
//
// # Scope
//
// An Index finds the team of a caller's token. A Limiter holds each team to the
// model tokens per second that the configuration allows it over all entries: the
// entry that owns the team, by rendezvous hashing over the list of instances,
// keeps a Pool and grants tokens. Every entry, including the owner, keeps an
// Account: it spends granted tokens and requests more before they run out.
//
// The limit is soft. An entry may spend up to about one second's share before a
// grant arrives, and a request counts by an estimate until its actual cost is
// known. Both can leave a debt, which the next request reports to the owner and
// which the pool pays from later tokens.
// An entry that cannot reach the owner spends its equal share of the limit, so
// that the sum stays below twice the limit. While differing lists of instances
// name two owners, the sum stays at about twice the limit.
//
// # Notation
//
// A grant is a number of tokens given by the owner in response to a request. The
// share of an entry is the limit divided by the number of entries.
package team
