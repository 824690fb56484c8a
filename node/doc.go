// Package node puts the parts of a process together: an entry, a sidecar, or a
// stand-in for the platform.
package node
