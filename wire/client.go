package wire

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"

	"github.com/foxtailstack/foxtailstack"
	"github.com/quic-go/quic-go"
)

// Client opens streams to peers over pooled connections, one a peer.
type Client struct {
	tls *tls.Config
	// open is set in a local client.
	open  Opener
	mu    sync.Mutex
	peers map[foxtailstack.Address]*peer
}

// peer is the connection to one address.
type peer struct {
	mu   sync.Mutex
	conn *quic.Conn
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
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	q, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, address, err)
	}
	s := newStream(q)
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
}

// connect returns a live connection to address.
func (c *Client) connect(ctx context.Context, address foxtailstack.Address) (*quic.Conn, error) {
	c.mu.Lock()
	p, ok := c.peers[address]
	if !ok {
		p = &peer{}
		c.peers[address] = p
	}
	c.mu.Unlock()

	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, string(address), c.tls, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	p.conn = conn
	return conn, nil
}

// close closes the connection if there is one.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.CloseWithError(codeClosed, "")
	}
}
