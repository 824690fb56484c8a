package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// pipeNetwork is a network in memory, so that tests can run on the paused clock. The zero
// value has no listeners.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// pipeAddress is the address of a pipeListener.
type pipeAddress string

func (a pipeAddress) Network() string { return "pipe" }

func (a pipeAddress) String() string { return string(a) }

// pipeListener accepts the connections that are dialled to its address.
type pipeListener struct {
	address pipeAddress
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// listen returns a listener on an address.
func (n *pipeNetwork) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{
		address: pipeAddress(address),
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*pipeListener)
	}
	n.listeners[address] = l
	return l
}

// serve starts a server on an address, or on a TCP address if the network is nil.
func (n *pipeNetwork) serve(address string, handler http.Handler) *httptest.Server {
	if n == nil {
		return httptest.NewServer(handler)
	}
	server := &httptest.Server{
		Listener: n.listen(address),
		Config:   &http.Server{Handler: handler},
	}
	server.Start()
	return server
}

// dial connects to the listener on an address.
func (n *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	near, far := net.Pipe()
	if l == nil {
		return nil, net.ErrClosed
	}
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the listener.
func (l *pipeListener) Addr() net.Addr { return l.address }
