// Package memstore keeps a table and objects within one process, for tests, stand-ins
// and experiments.
package memstore
