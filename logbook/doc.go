// Package logbook writes the structured log of a process, lines of key=value pairs,
// without ever blocking the process.
//
// # Scope
//
// A Writer is an io.Writer that queues complete log lines and writes them from its own
// goroutine. Lines above the rate limit and lines that find the queue full are dropped
// and counted. The number of dropped lines is written before the next line that is
// accepted.
package logbook
