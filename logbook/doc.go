// Package logbook writes the log of a process without ever blocking it.
//
// # Scope
//
// A Writer is an io.Writer that queues complete log lines and writes them from its own
// goroutine. Lines above the rate limit and lines that find the queue full are dropped
// and counted. The number of dropped lines is written before the next line that is
// accepted.
package logbook
