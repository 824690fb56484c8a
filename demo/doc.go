// Package demo runs all roles in one process, over real loopback sockets and
// against embedded stand-ins, and sends requests through them.
package demo
