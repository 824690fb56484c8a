package machine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fallback"
	"github.com/foxtailstack/foxtailstack/group"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/memory"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/route"
	"github.com/foxtailstack/foxtailstack/watch"
	"go.uber.org/zap"
)

const (
	// sidecarPollTimeout is the long-poll timeout of a sidecar's calls to the store.
	sidecarPollTimeout = 10 * time.Second
	// peerDialTimeout bounds the time to connect to another sidecar or to a rank.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to a sidecar or rank is kept open.
	peerIdleTimeout = 20 * time.Second
)

// Sidecar is the process beside an upstream. It executes orders for the upstream's rank
// and is a candidate for planner of the rank's group.
type Sidecar struct {
	settings platform.Settings
	log      *zap.Logger
	store    *platform.Store
	view     *watch.View
	// replies counts what is read of responses of the store, of ranks and of sidecars.
	replies         *memory.Account
	client          *http.Client
	rank            *platform.Rank
	group           *group.Sidecar
	fallback        fallback.Store
	peerListener    net.Listener
	metricsListener net.Listener
	// fleetRead is true if the list of upstreams has been read since this sidecar last
	// became planner.
	fleetRead atomic.Bool
}

// NewSidecar returns a Sidecar that listens on the ports of cfg for other sidecars and
// for requests for metrics. Run serves them.
func NewSidecar(cfg platform.Settings, log *zap.Logger) (*Sidecar, error) {
	s := &Sidecar{
		settings: cfg,
		log:      log,
		store:    platform.NewStore(cfg.StoreURL),
		view:     newView(cfg, log),
		replies:  &memory.Account{Bound: cfg.MemoryLimit / replyDivisor},
	}
	s.store.CountIn(s.replies)
	s.client = newPeerClient(s.replies)
	s.rank = platform.NewRank(s.client, cfg.UpstreamAddress)
	s.group = &group.Sidecar{
		Rank:   s.rank,
		Client: s.client,
		RankAt: func(rank foxtailstack.Address) group.Rank {
			return platform.NewRank(s.client, rank)
		},
		Log: log,
	}
	var err error
	s.peerListener, err = net.Listen("tcp", net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.PeerPort)))
	if err != nil {
		return nil, fmt.Errorf("listen for other sidecars: %w", err)
	}
	s.metricsListener, err = net.Listen("tcp", net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.MetricsPort)))
	if err != nil {
		_ = s.peerListener.Close() // the error of the second listener is returned
		return nil, fmt.Errorf("listen for requests for metrics: %w", err)
	}
	return s, nil
}

// Run serves other sidecars and takes part in the election of the planner until ctx
// is done. If serving fails, Run goes on without serving other sidecars and returns the
// error after ctx is done.
func (s *Sidecar) Run(ctx context.Context) error {
	s.log.Info("sidecar started", zap.String("upstream", string(s.settings.UpstreamAddress)))
	peers := flow.New()
	s.group.Register(peers.HandleFunc)
	s.fallback.Register(peers.HandleFunc)
	server := &http.Server{
		Handler:           peers,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Longer than peerIdleTimeout, so that the client closes idle connections first.
		IdleTimeout: 2 * peerIdleTimeout,
	}
	mux := flow.New()
	mux.HandleFunc("/metrics", serveMetrics, http.MethodGet)
	metricsServer := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	go func() { _ = metricsServer.Serve(s.metricsListener) }()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(s.peerListener) }()
	candidate := &group.Candidate{
		Name:         s.settings.Name,
		Address:      foxtailstack.Address(s.peerListener.Addr().String()),
		Sidecar:      s.group,
		Election:     s.store,
		Members:      s.members,
		StartUpdates: s.followStore,
		GroupConfig:  s.groupConfig,
		Log:          s.log,
	}
	candidate.Run(ctx)
	s.log.Info("sidecar stopped")
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve other sidecars: %w", err)
	default:
		return errors.Join(stopServer(server), stopServer(metricsServer))
	}
}

// followStore starts to follow the configuration and the list of upstreams until ctx
// is done. A list read during an earlier call no longer counts as read.
func (s *Sidecar) followStore(ctx context.Context) {
	s.fleetRead.Store(false)
	configFollower := &watch.Follower{
		Feed:            s.store,
		Table:           platform.TableConfig,
		LongPollTimeout: sidecarPollTimeout,
		Replace:         s.view.ReplaceConfig,
		Update:          s.view.SetConfig,
		Now:             clock.Boot,
		Log:             s.log,
	}
	fleetFollower := &watch.Follower{
		Feed:            s.store,
		Table:           platform.TableUpstreams,
		LongPollTimeout: sidecarPollTimeout,
		ChangePause:     fleetChangePause(s.settings.Bounds, minFleetPauseFraction),
		MaxChangePause:  fleetChangePause(s.settings.Bounds, maxFleetPauseFraction),
		Replace:         s.replaceFleet(ctx),
		Update:          s.view.UpdateFleet,
		Now:             clock.Boot,
		Log:             s.log,
	}
	go configFollower.Run(ctx)
	go fleetFollower.Run(ctx)
}

// replaceFleet returns a function that replaces the fleet and records in fleetRead that
// it has been read. If ctx is done, the function clears fleetRead instead, also if it was
// set on behalf of a later call of followStore.
func (s *Sidecar) replaceFleet(ctx context.Context) func([]foxtailstack.Record, foxtailstack.StoreVersion) {
	return func(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
		s.view.ReplaceFleet(records, version)
		s.fleetRead.Store(ctx.Err() == nil)
	}
}

// groupConfig returns the configuration of the model group of this sidecar's service.
// Its MaxEventGap is the smallest event gap limit of the routes to the service, or zero
// if none has one. groupConfig returns nil if the service has no group or no
// configuration has been received.
func (s *Sidecar) groupConfig() *route.Group {
	cfg := s.view.Config()
	if cfg == nil {
		return nil
	}
	configured := cfg.Services[s.settings.Service].Group
	if configured == nil {
		return nil
	}
	copied := *configured
	copied.MaxEventGap = cfg.MaxEventGap(s.settings.Service)
	return &copied
}

// members returns the ranks of the service as group members: the rank beside this
// sidecar as a group.Local and the others as group.Peer. Until the list of upstreams has been
// read, these are the known ones. Those in the data centre of this sidecar come first. The
// order is the same in each call, so that a planner keeps calling the same sidecars.
func (s *Sidecar) members(planner group.PlannerInfo, known []foxtailstack.Address) []group.Member {
	if s.fleetRead.Load() {
		known = s.rankAddresses()
	}
	var members []group.Member
	for _, address := range known {
		if address == s.settings.UpstreamAddress {
			members = append(members, &group.Local{
				Sidecar:  s.group,
				Planner:  planner,
				Upstream: address,
			})
			continue
		}
		sidecar, ok := sidecarAddress(address, s.settings.PeerPort)
		if !ok {
			continue // rare: the decoder rejects addresses without a port
		}
		members = append(members, &group.Peer{
			Sidecar:    sidecar,
			Client:     s.client,
			Planner:    planner,
			Upstream:   address,
			DirectRank: platform.NewRank(s.client, address),
		})
	}
	return members
}

// rankAddresses returns the addresses of the ranks of the service, as the list of upstreams
// has them.
func (s *Sidecar) rankAddresses() []foxtailstack.Address {
	upstreams := s.view.Fleet().All(s.settings.Service)
	slices.SortStableFunc(upstreams, func(a, b route.Upstream) int {
		switch local := s.settings.Centre; {
		case (a.Centre == local) == (b.Centre == local):
			return cmp.Compare(a.Address, b.Address)
		case a.Centre == local:
			return -1
		}
		return 1
	})
	addresses := make([]foxtailstack.Address, 0, len(upstreams))
	for _, u := range upstreams {
		addresses = append(addresses, u.Address)
	}
	return addresses
}

// sidecarAddress returns the address of the sidecar beside an upstream, which listens on
// port at the upstream's host. It returns false if the upstream's address has no port.
func sidecarAddress(upstream foxtailstack.Address, port int) (foxtailstack.Address, bool) {
	host, _, err := net.SplitHostPort(string(upstream))
	if err != nil {
		return "", false
	}
	return foxtailstack.Address(net.JoinHostPort(host, strconv.Itoa(port))), true
}

// newPeerClient returns the HTTP client for messages to sidecars and ranks. What it reads of
// responses is taken from an account.
func newPeerClient(account *memory.Account) *http.Client {
	return &http.Client{
		Transport: &memory.Transport{
			Base: &http.Transport{
				DialContext:            (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
				MaxIdleConnsPerHost:    2,
				IdleConnTimeout:        peerIdleTimeout,
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			Account: account,
		},
	}
}
