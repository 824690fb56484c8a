package exchange

import (
	"context"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Lease is the ownership of a connection by one request. It ends with Finish, Close or Abort;
// after that the connection may belong to another request, and the Lease does nothing to it.
// A Lease is not safe for concurrent use, but for the end of its context.
type Lease struct {
	conn *Conn
	pool *Pool
	name foxtailstack.UpstreamName
	// stop ends the watch of the context. It returns false if the connection was aborted.
	stop func() bool
}

// Lease returns the ownership of a connection that Get returned for an upstream. If ctx ends
// before the Lease, the connection is aborted and aborted is called with whether it was reset.
func (p *Pool) Lease(ctx context.Context, name foxtailstack.UpstreamName, conn *Conn, aborted func(reset bool)) *Lease {
	return &Lease{
		conn: conn,
		pool: p,
		name: name,
		stop: context.AfterFunc(ctx, func() { aborted(conn.Abort()) }),
	}
}

// Send writes a request and reads the header of its response (see Conn.Send).
func (l *Lease) Send(out OutgoingRequest, codec Codec) (*IncomingResponse, error) {
	return l.conn.Send(out, codec)
}

// SetReadCheck sets a check that runs while reads wait for data (see Conn.SetReadCheck). It is
// removed when the connection returns to the pool.
func (l *Lease) SetReadCheck(interval time.Duration, check func() error) {
	l.conn.SetReadCheck(interval, check)
}

// Finish ends the Lease after a response was read to its end. The connection returns to the
// pool if it can be reused and has not been aborted.
func (l *Lease) Finish(in *IncomingResponse) {
	if !l.end() {
		return // aborted, and so closed
	}
	in.Finish(l.pool, l.name, l.conn)
}

// Close ends the Lease and closes the connection.
func (l *Lease) Close() {
	if l.end() {
		l.conn.Close()
	}
}

// Abort ends the Lease and the connection of an abandoned request (see Conn.Abort).
func (l *Lease) Abort() {
	if l.end() {
		_ = l.conn.Abort()
	}
}

// end ends the Lease. It returns false if it had ended before or its context has ended first.
func (l *Lease) end() bool {
	stop := l.stop
	l.stop = nil
	return stop != nil && stop()
}
