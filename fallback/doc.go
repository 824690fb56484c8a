// Package fallback shares the rows of a table among entries while the platform's store is
// away. A sidecar keeps a Store in memory, and entries read and write it through a
// Client. All entries use the same sidecar as long as they reach it.
//
// A Store is not durable: it is empty when its process starts, and each entry then writes
// what it knows again.
package fallback
