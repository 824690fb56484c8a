package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/node"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/settings"
	"github.com/foxtailstack/foxtailstack/team"
	"go.uber.org/zap"
)

const (
	loopback  = "127.0.0.1:0"
	centre    = "local1"
	region    = "local"
	tableName = "foxtailstack"
	slots     = 8
	grace     = 5 * time.Second

	// startTimeout bounds the time until the configuration is in force.
	startTimeout = 10 * time.Second
	// startPoll is the time between two looks at it.
	startPoll = 20 * time.Millisecond
	// settleTime lets a stopped system end its connections.
	stopTimeout = 15 * time.Second
)

// Names of the demonstration's resources.
const (
	Token          = "demo-token"
	fleetName      = "formula"
	ServiceDraft   = "drafting"
	serviceOrder   = "orders"
	policyLookup   = "lookup"
	policyBooking  = "booking"
	teamName       = "blenders"
	upstreamPrefix = "w"
)

// System is a running system of one entry and its upstreams.
type System struct {
	Entry   *node.Entry
	Engines []*node.Standin

	platform *node.Standin
	config   keys.Config
	log      *zap.Logger
	cancel   context.CancelFunc
	stopped  chan error
	running  int
	slots    int
}

// Options are the options of a system. The zero value is ready for use.
type Options struct {
	// Slots is how many calls each engine runs at once; zero means eight.
	Slots int
}

// Start starts a system with two drafting upstreams and one for orders.
func Start(ctx context.Context, log *zap.Logger) (*System, error) {
	return StartWith(ctx, log, Options{})
}

// StartWith starts a system as Start does, with options.
func StartWith(ctx context.Context, log *zap.Logger, options Options) (*System, error) {
	if options.Slots == 0 {
		options.Slots = slots
	}
	config, err := keys.NewLoopback()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &System{
		platform: &node.Standin{},
		config:   config,
		log:      log,
		cancel:   cancel,
		stopped:  make(chan error),
		slots:    options.Slots,
	}
	err = s.start(ctx)
	if err != nil {
		_ = s.Stop()
		return nil, err
	}
	return s, nil
}

// start starts the parts one after another.
func (s *System) start(ctx context.Context) error {
	err := s.platform.Listen(loopback, "")
	if err != nil {
		return err
	}
	s.run(ctx, s.platform.Run)
	s.Entry, err = node.NewEntry(s.settings("entry1"), s.config, s.log)
	if err != nil {
		return err
	}
	s.run(ctx, s.Entry.Run)
	specs := map[fleet.ID]fleet.Spec{
		{
			Kind: fleet.KindFleet,
			Name: fleetName,
		}: fleet.Fleet{},
		{
			Kind: fleet.KindTeam,
			Name: teamName,
		}: fleet.Team{Callers: []string{team.Hash(Token)}},
		{
			Kind: fleet.KindPolicy,
			Name: fleetName + "/" + policyLookup,
		}: fleet.Policy{Idempotent: true},
		{
			Kind: fleet.KindPolicy,
			Name: fleetName + "/" + policyBooking,
		}: fleet.Policy{},
		{
			Kind: fleet.KindService,
			Name: fleetName + "/" + ServiceDraft,
		}: fleet.Service{
			Path:   "/v1/completions",
			Policy: policyLookup,
		},
		{
			Kind: fleet.KindService,
			Name: fleetName + "/" + serviceOrder,
		}: fleet.Service{
			Path:   "/orders",
			Policy: policyBooking,
		},
	}
	for i, service := range []string{ServiceDraft, ServiceDraft, serviceOrder} {
		name := fmt.Sprintf("%s/%s/%s%d", fleetName, service, upstreamPrefix, i+1)
		spec, err := s.startUpstream(ctx, name)
		if err != nil {
			return err
		}
		specs[fleet.ID{
			Kind: fleet.KindUpstream,
			Name: name,
		}] = spec
	}
	return s.apply(ctx, specs)
}

// startUpstream starts an engine and its sidecar.
func (s *System) startUpstream(ctx context.Context, name string) (fleet.Upstream, error) {
	engine := &node.Standin{}
	err := engine.Listen("", loopback)
	if err != nil {
		return fleet.Upstream{}, err
	}
	s.Engines = append(s.Engines, engine)
	s.run(ctx, engine.Run)
	cfg := s.settings(foxtailstack.InstanceName("sidecar-" + name[len(name)-2:]))
	cfg.Upstream = settings.Upstream{
		Name:   name,
		Engine: engine.EngineURL(),
		Slots:  s.slots,
	}
	sidecar, err := node.NewSidecar(cfg, s.config, s.log)
	if err != nil {
		return fleet.Upstream{}, err
	}
	s.run(ctx, sidecar.Run)
	return fleet.Upstream{
		Address: foxtailstack.Address(sidecar.Addr().String()),
		Centre:  centre,
		Slots:   s.slots,
	}, nil
}

// settings returns the settings of a process.
func (s *System) settings(name foxtailstack.InstanceName) settings.Settings {
	return settings.Settings{
		Name:        name,
		Centre:      centre,
		Region:      region,
		GracePeriod: settings.Duration(grace),
		Listen: settings.Listen{
			Callers: loopback,
			Peers:   loopback,
		},
		Platform: settings.Platform{
			Table: s.platform.PlatformURL(),
			List:  s.platform.PlatformURL() + "/instances",
			Name:  tableName,
		},
		TLS: settings.TLS{Plaintext: true},
	}
}

// apply declares resources and waits until the entry has them all.
func (s *System) apply(ctx context.Context, specs map[fleet.ID]fleet.Spec) error {
	store := fleet.Store{Table: platform.NewTable(platform.NewStore(s.platform.PlatformURL()), tableName)}
	var last foxtailstack.Revision
	for id, spec := range specs {
		data, err := json.Marshal(spec)
		if err != nil {
			return err
		}
		change, err := store.Commit(ctx, fleet.Proposal{
			ChangeID: foxtailstack.NewChangeID(),
			ID:       id,
			Spec:     data,
		})
		if err != nil {
			return err
		}
		last = change.Resource.Revision
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for s.Entry.Replica().Snapshot().Revision < last {
		select {
		case <-ctx.Done():
			return fmt.Errorf("configuration is not in force: %w", ctx.Err())
		case <-time.After(startPoll):
		}
	}
	return nil
}

// run runs a part of the system in the background.
func (s *System) run(ctx context.Context, part func(context.Context) error) {
	s.running++
	go func() { s.stopped <- part(ctx) }()
}

// URL returns the URL of a service.
func (s *System) URL(service string) string {
	return "http://" + s.Entry.Addr().String() + "/v1/fleets/" + fleetName + "/" + service
}

// Executions returns how often the engines ran the call with a text.
func (s *System) Executions(text string) int {
	n := 0
	for _, engine := range s.Engines {
		for _, execution := range engine.Engine.Executions() {
			if execution.Text == text {
				n++
			}
		}
	}
	return n
}

// Stop stops all parts and returns the first error.
func (s *System) Stop() error {
	s.cancel()
	var first error
	timeout := time.After(stopTimeout)
	for range s.running {
		select {
		case err := <-s.stopped:
			if first == nil {
				first = err
			}
		case <-timeout:
			return context.DeadlineExceeded
		}
	}
	http.DefaultClient.CloseIdleConnections()
	return first
}
