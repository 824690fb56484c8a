package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// protocol is the ALPN name of the protocol in the TLS handshake.
	protocol = "foxtailstack/1"

	// keepAlivePeriod is the time between two packets on an idle connection.
	keepAlivePeriod = 10 * time.Second
	// idleTimeout is the time without a packet from the peer after which QUIC closes
	// the connection.
	idleTimeout = 25 * time.Second
	// heartbeatInterval is the time between two heartbeats on a stream whose handler
	// sends no messages.
	heartbeatInterval = time.Second
	// clientReceiveTimeout is the time without a message or heartbeat after which a client
	// gives up a stream.
	clientReceiveTimeout = 3 * time.Second

	// helloTimeout bounds the wait for the first message of a stream, connectTimeout
	// the handshake of a connection, and finishTimeout the wait for the peer to close
	// its side after the handler has returned.
	helloTimeout   = 5 * time.Second
	connectTimeout = 2 * time.Second
	finishTimeout  = 5 * time.Second

	// maxStreams is the number of streams that a peer may have open on one connection.
	maxStreams = 1 << 16
)

// serverConfig returns the QUIC settings of the side that accepts a connection.
func serverConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  connectTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// clientConfig returns the QUIC settings of the side that opens a connection, which
// also sends the keep-alive packets.
func clientConfig() *quic.Config {
	cfg := serverConfig()
	cfg.KeepAlivePeriod = keepAlivePeriod
	return cfg
}

// Handler serves one stream. The Mux closes the stream when the handler returns. ctx
// ends with the connection or with Mux.Serve.
type Handler func(ctx context.Context, s *Stream)

// Mux accepts connections on one address and passes each stream to the handler of
// its kind. The zero value has no handlers; call Handle, Listen and Serve in this
// order.
type Mux struct {
	handlers map[Kind]*registration
	listener *quic.Listener
	conns    sync.WaitGroup
}

// registration is the handler of one kind and the number of its open streams.
type registration struct {
	handler Handler
	active  streamCount
}

// Handle registers the handler of a kind. It must not be called after Listen.
func (m *Mux) Handle(kind Kind, h Handler) {
	if m.handlers == nil {
		m.handlers = map[Kind]*registration{}
	}
	m.handlers[kind] = &registration{handler: h}
}

// Drain waits until no stream of the given kinds is open or until ctx ends. A stream
// counts as open until its peer has received all messages, but at most 5 s
// (finishTimeout) after its handler has returned. Drain does not reject new streams.
func (m *Mux) Drain(ctx context.Context, kinds ...Kind) error {
	for _, kind := range kinds {
		registered, ok := m.handlers[kind]
		if !ok {
			continue
		}
		err := registered.active.wait(ctx)
		if err != nil {
			return fmt.Errorf("drain streams of %s: %w", kind, err)
		}
	}
	return nil
}

// Listen listens on address and returns the bound address. cfg must require client
// certificates.
func (m *Mux) Listen(address string, cfg *tls.Config) (net.Addr, error) {
	tlsConfig := cfg.Clone()
	tlsConfig.NextProtos = []string{protocol}
	listener, err := quic.ListenAddr(address, tlsConfig, serverConfig())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	m.listener = listener
	return listener.Addr(), nil
}

// Serve accepts connections until ctx ends, and then closes all connections. It returns
// nil if ctx was canceled, and an error if its deadline passed.
func (m *Mux) Serve(ctx context.Context) error {
	defer m.conns.Wait()
	defer m.listener.Close()
	for {
		conn, err := m.listener.Accept(ctx)
		if errors.Is(err, context.Canceled) || errors.Is(err, quic.ErrServerClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept connection: %w", err)
		}
		m.conns.Go(func() { m.serveConn(ctx, conn) })
	}
}

// serveConn accepts the streams of one connection and serves each in a goroutine.
func (m *Mux) serveConn(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(codeClosed, "") }()
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go m.serveStream(ctx, conn, s)
	}
}

// serveStream reads the kind of a stream and runs its handler. It cancels a stream
// of unknown kind and one whose hello does not arrive within helloTimeout. The context
// of the handler ends with the connection.
func (m *Mux) serveStream(ctx context.Context, conn *quic.Conn, q *quic.Stream) {
	s := newStream(q)
	_ = s.SetReadDeadline(time.Now().Add(helloTimeout))
	var first hello
	err := s.Receive(&first)
	registered, ok := m.handlers[first.Kind]
	if err != nil || !ok {
		s.Cancel()
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	registered.active.begin()
	defer registered.active.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(conn.Context(), cancel)
	defer stop()
	heartbeats := startHeartbeats(s)
	defer heartbeats.Stop()
	registered.handler(ctx, s)
	s.finish()
}

// startHeartbeats sends a heartbeat on a stream in each heartbeatInterval in which no
// message was sent in the second half, until its send side ends or the timer is stopped.
// The peer thus waits at most one and a half intervals. With a timer, short streams need
// no extra goroutine.
func startHeartbeats(s *Stream) *time.Timer {
	var timer *time.Timer
	timer = time.AfterFunc(heartbeatInterval, func() {
		if s.sendHeartbeat(heartbeatInterval / 2) {
			timer.Reset(heartbeatInterval)
		}
	})
	return timer
}
