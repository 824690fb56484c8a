package wire

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/quic-go/quic-go"
)

// Client opens streams to peers over pooled connections, one a peer.
type Client struct {
	tls *tls.Config
	// open is set in a local client.
	open Opener

	mu     sync.Mutex
	peers  map[foxtailstack.Address]*peer
	socket *quic.Transport
}

// peer is the connection to one address.
type peer struct {
	mu   sync.Mutex
	conn *quic.Conn
	// last is when anything was last heard, in nanoseconds since 1970.
	last atomic.Int64
}

// heard takes note that the peer is alive.
func (p *peer) heard() {
	p.last.Store(time.Now().UnixNano())
}

// abandon closes a connection on which nothing has been heard for maxSilence,
// so that no further stream waits for its peer.
func (p *peer) abandon(conn *quic.Conn) {
	if time.Since(time.Unix(0, p.last.Load())) >= maxSilence {
		_ = conn.CloseWithError(codeClosed, "peer is silent")
	}
}

// NewClient returns a client that presents the certificate of cfg.
func NewClient(cfg *tls.Config) *Client {
	own := cfg.Clone()
	own.NextProtos = []string{protocol}
	return &Client{
		tls:   own,
		peers: map[foxtailstack.Address]*peer{},
	}
}

// Open opens a stream of a kind. It returns ErrUnreachable if there is no
// connection to the peer and none can be made.
func (c *Client) Open(ctx context.Context, address foxtailstack.Address, kind Kind) (*Stream, error) {
	if c.open != nil {
		return c.open(ctx, address, kind)
	}
	p, conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	q, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, address, err)
	}
	s := newStream(q)
	s.silence = maxSilence
	s.heard = p.heard
	s.silent = func() { p.abandon(conn) }
	err = s.Send(hello{Kind: kind})
	if err != nil {
		s.Cancel()
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	return s, nil
}

// Call sends request on a new stream and decodes the one message that comes
// back into response.
func (c *Client) Call(ctx context.Context, address foxtailstack.Address, kind Kind, request, response any) error {
	s, err := c.Open(ctx, address, kind)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	defer s.Cancel()
	err = s.Send(request)
	if err != nil {
		return err
	}
	err = s.Receive(response)
	if err == nil {
		return s.CloseSend()
	}
	if ctx.Err() != nil {
		return fmt.Errorf("call %s of %s: %w", kind, address, context.Cause(ctx))
	}
	return err
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
	if c.socket != nil {
		_ = c.socket.Close()
		_ = c.socket.Conn.Close()
		c.socket = nil
	}
}

// peer returns what the client knows of address, and the socket that all its
// connections share.
func (c *Client) peer(address foxtailstack.Address) (*peer, *quic.Transport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.socket == nil {
		conn, err := net.ListenUDP("udp", nil)
		if err != nil {
			return nil, nil, fmt.Errorf("%w: open socket: %w", ErrUnreachable, err)
		}
		c.socket = &quic.Transport{Conn: conn}
	}
	p, ok := c.peers[address]
	if !ok {
		p = &peer{}
		c.peers[address] = p
	}
	return p, c.socket, nil
}

// connect returns what the client knows of address and a live connection to it.
func (c *Client) connect(ctx context.Context, address foxtailstack.Address) (*peer, *quic.Conn, error) {
	p, socket, err := c.peer(address)
	if err != nil {
		return nil, nil, err
	}
	to, err := net.ResolveUDPAddr("udp", string(address))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p, p.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := socket.Dial(ctx, to, c.tls, clientConfig())
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	p.conn = conn
	p.heard()
	return p, conn, nil
}

// close closes the connection if there is one.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.CloseWithError(codeClosed, "")
	}
}
