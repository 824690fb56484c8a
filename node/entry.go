package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/balance"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/settings"
	"github.com/foxtailstack/foxtailstack/team"
	"github.com/foxtailstack/foxtailstack/timeline"
	"go.uber.org/zap"
)

// Entry is an entry process.
type Entry struct {
	*base
	replica   *fleet.Replica
	spreader  *fleet.Spreader
	operators *fleet.API
	chooser   *balance.Chooser
	listener  net.Listener
	handler   *flow.Mux
	callers   *entry.Server
	entries   *peers
	limiter   *team.Limiter
}

// NewEntry binds the addresses of an entry.
func NewEntry(cfg settings.Settings, config keys.Config, log *zap.Logger) (*Entry, error) {
	e := &Entry{
		base:    newBase(cfg, config, log),
		replica: &fleet.Replica{},
		handler: flow.New(),
	}
	e.entries = &peers{
		list: e.instances,
		role: foxtailstack.RoleEntry,
		self: cfg.Name,
	}
	e.spreader = e.newSpreader(foxtailstack.RoleEntry, e.replica)
	e.limiter = &team.Limiter{
		Replica:   e.replica,
		Client:    e.client,
		Instances: e.instances,
		Name:      cfg.Name,
	}
	e.mux.Handle(team.StreamGrant, e.limiter.ServeGrant)
	e.chooser = &balance.Chooser{
		Replica:   e.replica,
		Client:    e.client,
		Centre:    cfg.Centre,
		Instances: e.instances,
	}
	e.callers = &entry.Server{
		Replica:  e.replica,
		Client:   e.client,
		Recorder: e.recorder(),
		Ring:     e.ring,
		Chooser:  e.chooser,
		Limiter:  e.limiter,
		Peers:    e.entries.Addresses,
	}
	e.mux.Handle(entry.StreamCrash, e.callers.ServeCrash)
	err := e.listenPeers(config)
	if err != nil {
		return nil, err
	}
	e.listener, err = listenHTTP(cfg.Listen.Callers, config.Listen, cfg.TLS.Plaintext)
	if err != nil {
		return nil, err
	}
	e.callers.Routes(e.handler)
	e.handler.HandleFunc(pathReady, e.serveReady, http.MethodGet)
	e.operators = e.newAPI()
	e.operators.Routes(e.handler)
	events := &timeline.Collector{
		Client: e.client,
		Ring:   e.ring,
		Peers:  e.others,
	}
	events.Routes(e.handler, e.operators.Guard)
	bookings := &booking.API{Resolver: e.callers.Resolver()}
	bookings.Routes(e.handler, e.operators.Guard)
	return e, nil
}

// Addr returns the address for callers and operators.
func (e *Entry) Addr() net.Addr {
	return e.listener.Addr()
}

// Replica returns the configuration in force in the entry.
func (e *Entry) Replica() *fleet.Replica {
	return e.replica
}

// Run serves until ctx ends and the requests in progress have finished.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info("entry started", zap.Stringer("callers", e.Addr()), zap.Stringer("peers", e.peers))
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go e.spreader.Run(background)
	defer context.AfterFunc(ctx, e.operators.Close)()
	go e.serveStatus(background)
	go e.awaitConfig(background, e.replica)
	go e.chooser.Run(background)
	go e.limiter.Run(background)
	go func() { _ = e.mux.Serve(background) }()
	err := serveHTTP(ctx, e.listener, e.handler, e.grace(), e.drain)
	e.client.Close()
	e.life.fire(stepStop)
	e.log.Info("entry stopped")
	return err
}

// drain refuses new requests and waits for those in progress.
func (e *Entry) drain(ctx context.Context) error {
	e.life.fire(stepDrain)
	lingered := time.After(linger)
	err := e.callers.Drain(ctx)
	if err != nil {
		return ErrGrace
	}
	<-lingered
	return nil
}

// others returns the addresses of the other entries and of all sidecars.
func (e *Entry) others(ctx context.Context) []foxtailstack.Address {
	addresses := slices.Clone(e.entries.Addresses(ctx))
	for _, members := range e.replica.Snapshot().Upstreams {
		for _, member := range members {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
