package node

import (
	"net"
	"net/http"
	"sync"
)

// unused holds the connections on which nothing has been asked yet. A server
// that shuts down would wait five seconds for a request on them. The zero value
// is ready for use.
type unused struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// note is the ConnState of a server.
func (u *unused) note(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != http.StateNew {
		delete(u.conns, conn)
		return
	}
	if u.conns == nil {
		u.conns = map[net.Conn]struct{}{}
	}
	u.conns[conn] = struct{}{}
}

// close closes the connections.
func (u *unused) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.Close()
	}
}
