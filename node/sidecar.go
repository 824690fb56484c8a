package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/settings"
	"github.com/foxtailstack/foxtailstack/upstream"
	"go.uber.org/zap"
)

// ErrGrace means that requests were still in progress after the grace period.
var ErrGrace = errors.New("requests were still in progress after the grace period")

// Sidecar is the process beside an upstream.
type Sidecar struct {
	*base
	replica *fleet.Replica
	gate    *upstream.Gate
	server  *upstream.Server
	flusher *booking.Flusher
}

// NewSidecar binds the address of a sidecar.
func NewSidecar(cfg settings.Settings, config keys.Config, log *zap.Logger) (*Sidecar, error) {
	s := &Sidecar{
		base:    newBase(cfg, config, log),
		replica: &fleet.Replica{},
		gate:    upstream.NewGate(cfg.Upstream.Slots),
	}
	s.server = &upstream.Server{
		Upstream:    cfg.Upstream.Name,
		Incarnation: foxtailstack.NewIncarnation(),
		Engine:      upstream.NewHTTPEngine(cfg.Upstream.Engine),
		Gate:        s.gate,
		Ledger:      &booking.Ledger{},
		Ring:        s.ring,
	}
	s.gate.SetWeight(func(name foxtailstack.TeamName) float64 {
		return s.replica.Snapshot().Teams[name].Weight
	})
	s.flusher = &booking.Flusher{
		Recorder: s.recorder(),
		Ledger:   s.server.Ledger,
	}
	s.server.Flusher = s.flusher
	s.mux.Handle(upstream.StreamAttempt, s.server.ServeAttempt)
	s.mux.Handle(upstream.StreamProbe, s.server.ServeProbe)
	responder := booking.Responder{
		Incarnation: s.server.Incarnation,
		Ledger:      s.server.Ledger,
	}
	s.mux.Handle(booking.StreamInquiry, responder.ServeInquiry)
	return s, s.listenPeers(config)
}

// Addr returns the address for other processes.
func (s *Sidecar) Addr() net.Addr {
	return s.peers
}

// Run serves until ctx ends and the requests in progress have finished.
func (s *Sidecar) Run(ctx context.Context) error {
	s.log.Info("sidecar started", zap.Stringer("peers", s.peers), zap.String("upstream", s.settings.Upstream.Name))
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	poller := fleet.Poller{
		Store:   fleet.Store{Table: s.table},
		Replica: s.replica,
	}
	go poller.Run(background)
	go s.serveStatus(background)
	go s.follow(background)
	go s.awaitConfig(background, s.replica)
	served := make(chan error, 1)
	go func() { served <- s.mux.Serve(background) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	err := s.drain()
	cancel()
	err = errors.Join(err, <-served)
	s.client.Close()
	s.life.fire(stepStop)
	s.log.Info("sidecar stopped")
	return err
}

// drain refuses new attempts and waits until those in progress have ended and
// the entries have taken their answers.
func (s *Sidecar) drain() error {
	s.life.fire(stepDrain)
	lingered := time.After(linger)
	ctx, cancel := context.WithTimeout(context.Background(), s.grace())
	defer cancel()
	select {
	case <-s.gate.Drain():
	case <-ctx.Done():
		return ErrGrace
	}
	for _, key := range s.flusher.Wait(ctx) {
		s.log.Error("booking has no record",
			zap.String("team", string(key.Team)),
			zap.Stringer("service", key.Service),
			zap.String("key", key.Idempotency))
	}
	<-lingered
	err := s.mux.Drain(ctx, upstream.StreamAttempt, booking.StreamInquiry)
	if err != nil {
		return ErrGrace
	}
	return nil
}

// follow keeps the gate as wide as the configuration says, and open or shut.
func (s *Sidecar) follow(ctx context.Context) {
	id, err := fleet.ParseUpstreamID(s.settings.Upstream.Name)
	if err != nil {
		s.log.Error("upstream has no valid name", zap.Error(err))
		return
	}
	for {
		changed := s.replica.Changed()
		member, ok := s.replica.Snapshot().Upstreams[id.ServiceID][id.Upstream]
		if ok {
			s.gate.Resize(member.Slots)
			s.server.SetDrain(member.Drain)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
