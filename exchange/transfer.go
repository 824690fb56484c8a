package exchange

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// lastConn is the number of the last connection that was established.
var lastConn atomic.Uint64

// Transfer is what a connection has done with the request that it carries, or carried last.
type Transfer struct {
	// Conn is the number of the connection, from one. No two connections of the process have
	// the same, to whichever upstreams they lead.
	Conn uint64
	// Kept is set if the connection came from the pool, as opposed to a new one.
	Kept bool
	// Carried is the number of requests that the connection had carried before.
	Carried int
	// Began is when writing the request began; zero if it did not.
	Began time.Time
	// Written is the number of bytes of the request that the operating system has taken in
	// calls that have returned, and Whole is set if that was all of it.
	Written int64
	Whole   bool
	// Skipped is the number of responses to other requests, and Informational that of
	// informational ones, that were read in search of the response.
	Skipped, Informational int
}

// SkippedResponse is a response that was read on a connection and belongs to another
// request than the one that the connection carries.
type SkippedResponse struct {
	// Transfer is that of the request that the connection carries.
	Transfer
	// Found is the request that the response belongs to.
	Found  RequestID
	Status int
}

// transferLog records the transfer of a connection. It is written to in place of the
// connection, to count the bytes. Its methods may be called concurrently.
type transferLog struct {
	raw io.Writer

	mu  sync.Mutex
	now Transfer
	// requests is the number of requests begun, and length that of the current one in bytes;
	// zero until it is known.
	requests int
	length   int64
}

// newTransferLog returns the log of a new connection.
func newTransferLog(raw io.Writer) *transferLog {
	return &transferLog{
		raw: raw,
		now: Transfer{Conn: lastConn.Add(1)},
	}
}

// Write writes to the connection.
func (l *transferLog) Write(p []byte) (int, error) {
	n, err := l.raw.Write(p)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now.Written += int64(n)
	l.now.Whole = l.length > 0 && l.now.Written >= l.length
	return n, err
}

// take records that the connection was taken from the pool for another request.
func (l *transferLog) take() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.length = 0
	l.now = Transfer{
		Conn:    l.now.Conn,
		Kept:    true,
		Carried: l.requests,
	}
}

// begin records that writing a request begins.
func (l *transferLog) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.length = 0
	l.now = Transfer{
		Conn:    l.now.Conn,
		Kept:    l.now.Kept,
		Carried: l.requests,
		Began:   time.Now(),
	}
	l.requests++
}

// headBuffered records that the head of the request was written, but for the bytes that are
// buffered, and the length of the body that follows.
func (l *transferLog) headBuffered(buffered, body int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.length = l.now.Written + int64(buffered) + int64(body)
}

// skip counts a response that was skipped.
func (l *transferLog) skip(informational bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if informational {
		l.now.Informational++
		return
	}
	l.now.Skipped++
}

// Transfer returns what the connection has done with its request so far. Another request
// begins a new Transfer, so it is to be called before the connection returns to its pool. It
// may be called concurrently with any other method.
func (c *Conn) Transfer() Transfer {
	c.transfers.mu.Lock()
	defer c.transfers.mu.Unlock()
	return c.transfers.now
}
