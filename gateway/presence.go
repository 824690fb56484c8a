package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// ConnContext returns ctx with the connection that a request comes on. It is to be set as
// http.Server.ConnContext, so that the gateway sends nothing for callers that have left.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerLeft reports whether the caller has disconnected. The server learns that a little
// later, by a read that may not have run yet if the request and its end were read together:
// this process stood still, or had no time.
func (c *call) callerLeft() bool {
	if c.r.Context().Err() != nil {
		return true
	}
	conn, ok := c.r.Context().Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) { left = ended(int(fd)) }) // Read would wait for the server's own read
	return err == nil && left
}

// resetUnframed lets the end of the caller's connection be a reset if the response has neither
// a length nor chunks, as for callers of HTTP/1.0: a plain end would make it look complete.
func (c *call) resetUnframed() {
	if c.r.ProtoAtLeast(1, 1) {
		return
	}
	conn, ok := c.r.Context().Value(callerConnKey{}).(*net.TCPConn)
	if ok {
		_ = conn.SetLinger(0) // fails only if the connection is closed already
	}
}

// ended reports whether the other end of a socket has closed or reset it and no data are left
// to read.
func ended(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
}
