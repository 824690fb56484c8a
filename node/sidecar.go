package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/expert"
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
	replica  *fleet.Replica
	spreader *fleet.Spreader
	gate     *upstream.AdmissionController
	server   *upstream.Server
	flusher  *booking.Flusher
	group    group
}

// NewSidecar binds the address of a sidecar.
func NewSidecar(cfg settings.Settings, config keys.Config, log *zap.Logger) (*Sidecar, error) {
	s := &Sidecar{
		base:    newBase(cfg, config, log),
		replica: &fleet.Replica{},
		gate:    upstream.NewAdmissionController(cfg.Upstream.Slots),
	}
	s.server = &upstream.Server{
		Upstream:    cfg.Upstream.Name,
		Incarnation: foxtailstack.NewIncarnation(),
		Engine:      upstream.NewHTTPEngine(cfg.Upstream.Engine),
		Admission:   s.gate,
		Ledger:      &booking.Ledger{},
		Ring:        s.ring,
	}
	s.gate.SetWeight(func(name foxtailstack.TeamName) float64 {
		return s.replica.Snapshot().Teams[name].Weight
	})
	s.flusher = &booking.Flusher{
		Recorder:   s.recorder(),
		Ledger:     s.server.Ledger,
		Superseded: s.logSuperseded,
	}
	s.server.Flusher = s.flusher
	s.mux.Handle(upstream.StreamAttempt, s.server.ServeAttempt)
	s.mux.Handle(upstream.StreamProbe, s.server.ServeProbe)
	responder := booking.Responder{
		Incarnation: s.server.Incarnation,
		Ledger:      s.server.Ledger,
	}
	s.spreader = s.newSpreader(foxtailstack.RoleSidecar, s.replica)
	s.mux.Handle(booking.StreamInquiry, responder.ServeInquiry)
	s.mux.Handle(expert.StreamExpert, s.group.inbox.Serve)
	s.steps = &s.group
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
	go s.spreader.Run(background)
	go s.serveStatus(background)
	go s.follow(background)
	go s.joinGroup(background)
	go s.server.MonitorEngine(background)
	go s.reconciler().Run(background)
	go s.awaitConfig(background, s.replica)
	served := make(chan error, 1)
	go func() { served <- s.mux.Serve(background) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	err := s.drain()
	s.flusher.Close()
	cancel()
	err = errors.Join(err, <-served)
	s.client.Close()
	s.life.fire(stepStop)
	s.log.Info("sidecar stopped")
	return err
}

// logSuperseded logs a result that contradicts what an operator has settled.
func (s *Sidecar) logSuperseded(result booking.Result) {
	s.log.Error("booking was settled before its result came",
		zap.String("team", string(result.Key.Team)),
		zap.Stringer("service", result.Key.Service),
		zap.String("key", result.Key.Idempotency),
		zap.Stringer("attempt", result.Claim.Attempt),
		zap.Bool("ran", !result.Failed))
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
	unwritten := s.flusher.Wait(ctx)
	for _, key := range unwritten {
		s.log.Error("booking has no record",
			zap.String("team", string(key.Team)),
			zap.Stringer("service", key.Service),
			zap.String("key", key.Idempotency))
	}
	if len(unwritten) > 0 {
		return ErrGrace
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

// reconciler returns what orders the engine to load what its service declares.
func (s *Sidecar) reconciler() *upstream.Reconciler {
	return &upstream.Reconciler{
		Epoch: &upstream.SidecarEpoch{
			Table:       s.table,
			Upstream:    s.settings.Upstream.Name,
			Incarnation: s.server.Incarnation,
		},
		Engine:         s.server.Engine,
		Desired:        s.want,
		DesiredChanged: s.replica.Changed,
		Ring:           s.ring,
	}
}

// want returns what the engine is to have loaded. Plain services load nothing.
func (s *Sidecar) want() (upstream.DesiredState, bool) {
	id, err := fleet.ParseUpstreamID(s.settings.Upstream.Name)
	if err != nil {
		return upstream.DesiredState{}, false
	}
	snapshot := s.replica.Snapshot()
	service, ok := snapshot.Services[id.ServiceID]
	return upstream.DesiredState{
		Revision: snapshot.Revision,
		Model:    service.Model,
		Adapter:  service.Adapter,
		Version:  service.Version,
	}, ok && service.Model != ""
}
