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
	// protocol is the name that both ends agree on in the handshake.
	protocol = "foxtailstack/1"

	// keepAlive is the time between two packets on an idle connection.
	keepAlive = 10 * time.Second
	// idleTimeout ends a connection whose peer is silent.
	idleTimeout = 25 * time.Second
	// heartbeatInterval is the time between two heartbeats on a stream whose
	// handler sends nothing.
	heartbeatInterval = time.Second
	// maxSilence ends a stream whose peer sends not even heartbeats.
	maxSilence = 3 * time.Second

	helloTimeout   = 5 * time.Second
	connectTimeout = 2 * time.Second
	finishTimeout  = 5 * time.Second

	maxStreams = 1 << 16
)

// serverConfig returns the settings of the end that accepts a connection.
func serverConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  connectTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// clientConfig returns the settings of the end that makes a connection, which
// also keeps it alive.
func clientConfig() *quic.Config {
	cfg := serverConfig()
	cfg.KeepAlivePeriod = keepAlive
	return cfg
}

// Handler serves one stream. The stream is finished when it returns.
type Handler func(ctx context.Context, s *Stream)

// Mux listens on one address and hands streams to the handlers of their kinds.
// The zero value is ready for Handle.
type Mux struct {
	handlers map[Kind]*registration
	listener *quic.Listener
	conns    sync.WaitGroup
}

// registration is the handler of a kind with its streams in progress.
type registration struct {
	handler Handler
	active  activity
}

// Handle registers the handler of a kind. It must not be called after Listen.
func (m *Mux) Handle(kind Kind, h Handler) {
	if m.handlers == nil {
		m.handlers = map[Kind]*registration{}
	}
	m.handlers[kind] = &registration{handler: h}
}

// Drain waits until the streams of the given kinds have finished, so that their
// peers have taken all that was sent, or until ctx ends. It takes no measures
// against new streams.
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

// Listen binds address and returns the address bound. cfg must ask for the
// certificates of clients.
func (m *Mux) Listen(address string, cfg *tls.Config) (net.Addr, error) {
	own := cfg.Clone()
	own.NextProtos = []string{protocol}
	listener, err := quic.ListenAddr(address, own, serverConfig())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	m.listener = listener
	return listener.Addr(), nil
}

// Serve accepts connections until ctx ends and then closes all of them.
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

// serveConn accepts the streams of one connection.
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

// serveStream reads the kind of a stream and runs its handler. The context of
// the handler ends with the connection.
func (m *Mux) serveStream(ctx context.Context, conn *quic.Conn, q *quic.Stream) {
	s := newStream(q)
	_ = s.SetReadDeadline(time.Now().Add(helloTimeout))
	var first hello
	err := s.Receive(&first)
	registered, known := m.handlers[first.Kind]
	if err != nil || !known {
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
	beats := startHeartbeats(s)
	defer beats.Stop()
	registered.handler(ctx, s)
	s.finish()
}

// startHeartbeats sends heartbeats on a stream until it ends. The timer costs
// short streams no goroutine.
func startHeartbeats(s *Stream) *time.Timer {
	var timer *time.Timer
	timer = time.AfterFunc(heartbeatInterval, func() {
		if s.beat(heartbeatInterval / 2) {
			timer.Reset(heartbeatInterval)
		}
	})
	return timer
}
