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

// Client opens streams to peers. It keeps one connection to each peer.
type Client struct {
	tls *tls.Config
	// open replaces Open if it is not nil; see NewLocalClient.
	open Opener

	mu            sync.Mutex
	peers         map[foxtailstack.Address]*peer
	quicTransport *quic.Transport
}

// peer holds the connection to one address.
type peer struct {
	// mu guards conn and is held while conn is dialed, so that one caller dials at a time.
	mu   sync.Mutex
	conn *quic.Conn
	// lastReceived is the Unix time in nanoseconds at which the last message or
	// heartbeat arrived on any stream of the connection.
	lastReceived atomic.Int64
}

// recordReceive records that a message or heartbeat has just arrived.
func (p *peer) recordReceive() {
	p.lastReceived.Store(time.Now().UnixNano())
}

// closeIfSilent closes the connection if no stream on it has received anything for
// clientReceiveTimeout, so that no further stream waits for this peer.
func (p *peer) closeIfSilent(conn *quic.Conn) {
	if time.Since(time.Unix(0, p.lastReceived.Load())) >= clientReceiveTimeout {
		_ = conn.CloseWithError(codeClosed, "peer is silent")
	}
}

// NewClient returns a client that presents the certificate of cfg.
func NewClient(cfg *tls.Config) *Client {
	tlsConfig := cfg.Clone()
	tlsConfig.NextProtos = []string{protocol}
	return &Client{
		tls:   tlsConfig,
		peers: map[foxtailstack.Address]*peer{},
	}
}

// Open opens a stream of the given kind, and a connection to the peer if there is
// none. It returns ErrUnreachable if either fails or the first message, which names the
// kind, cannot be sent. The errors of a client from NewLocalClient are those of its
// Opener.
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
	s.receiveTimeout = clientReceiveTimeout
	s.onReceive = p.recordReceive
	s.onReceiveTimeout = func() { p.closeIfSilent(conn) }
	err = s.Send(hello{Kind: kind})
	if err != nil {
		s.Cancel()
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	return s, nil
}

// Call sends request on a new stream of the given kind and decodes the single message
// that the peer replies with into response. Its errors are those of Open, Stream.Send,
// Stream.Receive and Stream.CloseSend. If Receive fails after ctx has ended, Call returns
// the cause of ctx. If CloseSend fails, response has been set all the same.
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

// Close closes all connections and the UDP socket.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
	if c.quicTransport != nil {
		_ = c.quicTransport.Close()
		_ = c.quicTransport.Conn.Close()
		c.quicTransport = nil
	}
}

// peerAndTransport returns the peer of address, which it creates if necessary, and the
// QUIC transport that all connections of the client share.
func (c *Client) peerAndTransport(address foxtailstack.Address) (*peer, *quic.Transport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quicTransport == nil {
		conn, err := net.ListenUDP("udp", nil)
		if err != nil {
			return nil, nil, fmt.Errorf("%w: open socket: %w", ErrUnreachable, err)
		}
		c.quicTransport = &quic.Transport{Conn: conn}
	}
	p, ok := c.peers[address]
	if !ok {
		p = &peer{}
		c.peers[address] = p
	}
	return p, c.quicTransport, nil
}

// connect returns the peer of address and an open connection to it.
func (c *Client) connect(ctx context.Context, address foxtailstack.Address) (*peer, *quic.Conn, error) {
	p, transport, err := c.peerAndTransport(address)
	if err != nil {
		return nil, nil, err
	}
	udpAddress, err := net.ResolveUDPAddr("udp", string(address))
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
	conn, err := transport.Dial(ctx, udpAddress, c.tls, clientConfig())
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	p.conn = conn
	p.recordReceive()
	return p, conn, nil
}

// close closes the connection, if any.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.CloseWithError(codeClosed, "")
	}
}
