package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/settings"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
	"go.uber.org/zap"
)

const (
	// defaultGrace is the time for requests in progress when stopping.
	defaultGrace = 30 * time.Second
	// linger is how long a process that stops goes on refusing new work in
	// words, until those that send it have noticed.
	linger = 500 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// maxHeader is the length of the longest header of a request in bytes.
	maxHeader = 64 << 10
)

// base is what every process has.
type base struct {
	settings settings.Settings
	life     *life
	log      *zap.Logger
	ring     *timeline.Ring
	table    foxtailstack.Table
	objects  foxtailstack.ObjectStore
	client   *wire.Client
	// instances is the platform's list, or nil if there is none.
	instances foxtailstack.InstanceList
	mux       wire.Mux
	peers     net.Addr
	status    net.Listener
	// steps serves engines that ask for the map of a step; nil but in sidecars.
	steps http.Handler
}

// newBase connects a process to the platform and to its peers.
func newBase(cfg settings.Settings, config keys.Config, log *zap.Logger) *base {
	return &base{
		settings:  cfg,
		life:      newLife(log),
		log:       log,
		ring:      &timeline.Ring{Instance: cfg.Name},
		table:     platform.NewTable(platform.NewStore(cfg.Platform.Table), cfg.Platform.Name),
		objects:   platform.NewObjects(platform.NewStore(cfg.Platform.Objects), cfg.Platform.Bucket),
		client:    wire.NewClient(config.Peer),
		instances: listOf(cfg),
	}
}

// recorder returns the recorder of bookings.
func (b *base) recorder() booking.Recorder {
	return booking.Recorder{
		Table:   b.table,
		Objects: b.objects,
	}
}

// listenPeers binds the addresses for other processes and for the status.
func (b *base) listenPeers(config keys.Config) error {
	b.mux.Handle(timeline.StreamEvents, b.ring.ServeEvents)
	addr, err := b.mux.Listen(string(b.settings.Listen.Peers), config.Peer)
	if err != nil {
		return err
	}
	b.peers = addr
	b.status, err = listenStatus(b.settings.Listen.Status, config.Listen)
	return err
}

// listOf returns the platform's list of instances, or nil if there is none.
func listOf(cfg settings.Settings) foxtailstack.InstanceList {
	if cfg.Platform.List == "" {
		return nil
	}
	return &Cache{List: platform.NewDiscovery(cfg.Platform.List)}
}

// grace returns the time for requests in progress when stopping.
func (b *base) grace() time.Duration {
	if b.settings.GracePeriod > 0 {
		return time.Duration(b.settings.GracePeriod)
	}
	return defaultGrace
}

// awaitConfig makes the process ready once it has a configuration.
func (b *base) awaitConfig(ctx context.Context, replica *fleet.Replica) {
	for {
		changed := replica.Changed()
		if replica.Snapshot().Revision > 0 {
			b.life.fire(stepServe)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// serveReady answers 200 if the process takes new work and 503 if not.
func (b *base) serveReady(w http.ResponseWriter, _ *http.Request) {
	phase := b.life.Phase()
	w.Header().Set("Content-Type", "text/plain")
	if phase != Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, string(phase)+"\n") // the checker may be gone
}

// listenHTTP binds a TCP address, with TLS unless plain is set.
func listenHTTP(address foxtailstack.Address, cfg *tls.Config, plain bool) (net.Listener, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if plain {
		return listener, nil
	}
	own := cfg.Clone()
	own.NextProtos = []string{"h2", "http/1.1"}
	return tls.NewListener(listener, own), nil
}

// serveHTTP serves until ctx ends and drain, unless it is nil, has returned. It
// then lets the requests in progress finish within the grace period.
func serveHTTP(
	ctx context.Context,
	listener net.Listener,
	handler http.Handler,
	grace time.Duration,
	drain func(ctx context.Context) error,
) error {
	var fresh unused
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         fresh.note,
	}
	server.RegisterOnShutdown(fresh.close)
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		limited, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		var err error
		if drain != nil {
			err = drain(limited)
		}
		stopped <- errors.Join(err, server.Shutdown(limited))
	}()
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	}
	return <-stopped
}
