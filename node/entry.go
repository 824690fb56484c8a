package node

import (
	"context"
	"net"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/balance"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/settings"
	"github.com/foxtailstack/foxtailstack/team"
	"go.uber.org/zap"
)

// Entry is an entry process.
type Entry struct {
	*base
	replica   *fleet.Replica
	spreader  *fleet.Spreader
	operators *fleet.API
	listener  net.Listener
	handler   *flow.Mux
}

// NewEntry binds the addresses of an entry.
func NewEntry(cfg settings.Settings, config keys.Config, log *zap.Logger) (*Entry, error) {
	e := &Entry{
		base:    newBase(cfg, config, log),
		replica: &fleet.Replica{},
		handler: flow.New(),
	}
	e.spreader = e.newSpreader(foxtailstack.RoleEntry, e.replica)
	err := e.listenPeers(config)
	if err != nil {
		return nil, err
	}
	e.listener, err = listenHTTP(cfg.Listen.Callers, config.Listen, cfg.TLS.Plain)
	if err != nil {
		return nil, err
	}
	callers := &entry.Server{
		Replica:  e.replica,
		Client:   e.client,
		Recorder: booking.Recorder{Table: e.table},
		Ring:     e.ring,
		Chooser:  &balance.Chooser{Replica: e.replica},
		Limiter:  &team.Limiter{},
	}
	callers.Routes(e.handler)
	e.operators = e.newAPI()
	e.operators.Routes(e.handler)
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
	go func() { _ = e.mux.Serve(background) }()
	err := serveHTTP(ctx, e.listener, e.handler, e.grace())
	e.client.Close()
	e.log.Info("entry stopped")
	return err
}
