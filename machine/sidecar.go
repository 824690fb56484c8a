package machine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/group"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/route"
	"github.com/foxtailstack/foxtailstack/watch"
	"go.uber.org/zap"
)

const (
	// sidecarWait is how long a sidecar's call to the store may wait for a change.
	sidecarWait = 10 * time.Second
	// peerDialTimeout bounds the making of a connection between sidecars.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdle is how long an idle connection between sidecars is kept.
	peerIdle = 20 * time.Second
)

// Sidecar is the process beside an upstream.
type Sidecar struct {
	settings platform.Settings
	log      *zap.Logger
	store    *platform.Store
	view     *watch.View
	client   *http.Client
	rank     *platform.Rank
	group    *group.Sidecar
	peers    net.Listener
	metrics  net.Listener
	// listed tells that the list of upstreams was read since this sidecar plans.
	listed atomic.Bool
}

// NewSidecar binds the addresses of a sidecar.
func NewSidecar(cfg platform.Settings, log *zap.Logger) (*Sidecar, error) {
	s := &Sidecar{
		settings: cfg,
		log:      log,
		store:    platform.NewStore(cfg.StoreURL),
		view:     newView(log),
		client:   newPeerClient(),
	}
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
	s.peers, err = net.Listen("tcp", net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.PeerPort)))
	if err != nil {
		return nil, err
	}
	s.metrics, err = net.Listen("tcp", net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.MetricsPort)))
	if err != nil {
		_ = s.peers.Close() // the error of the other listener counts
		return nil, err
	}
	return s, nil
}

// Run runs until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	s.log.Info("sidecar started", zap.String("upstream", string(s.settings.UpstreamAddress)))
	server := &http.Server{
		Handler:           s.group.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * peerIdle,
	}
	mux := flow.New()
	mux.HandleFunc("/metrics", serveMetrics, http.MethodGet)
	status := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	go func() { _ = status.Serve(s.metrics) }()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.peers) }()
	candidate := &group.Candidate{
		Name:         s.settings.Name,
		Address:      foxtailstack.Address(s.peers.Addr().String()),
		Sidecar:      s.group,
		Election:     s.store,
		Members:      s.members,
		StartUpdates: s.follow,
		Shape:        s.shape,
		Log:          s.log,
	}
	candidate.Run(ctx)
	s.log.Info("sidecar stopped")
	select {
	case err := <-failed:
		return fmt.Errorf("listener for sidecars: %w", err)
	default:
		return errors.Join(server.Close(), status.Close())
	}
}

// follow begins to follow the configuration and the fleet, until ctx ends. What
// was known of the fleet from an earlier time does not count any more.
func (s *Sidecar) follow(ctx context.Context) {
	s.listed.Store(false)
	config := &watch.Follower{
		Feed:            s.store,
		Table:           platform.TableConfig,
		LongPollTimeout: sidecarWait,
		Replace:         s.view.SetConfig,
		Update:          s.view.SetConfig,
		Now:             clock.Boot,
		Log:             s.log,
	}
	upstreams := &watch.Follower{
		Feed:            s.store,
		Table:           platform.TableUpstreams,
		LongPollTimeout: sidecarWait,
		Replace:         s.replaceFleet(ctx),
		Update:          s.view.UpdateFleet,
		Now:             clock.Boot,
		Log:             s.log,
	}
	go config.Run(ctx)
	go upstreams.Run(ctx)
}

// replaceFleet returns what takes the whole list of upstreams while ctx lasts.
func (s *Sidecar) replaceFleet(ctx context.Context) func([]foxtailstack.Record, foxtailstack.StoreVersion) {
	return func(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
		s.view.ReplaceFleet(records, version)
		s.listed.Store(ctx.Err() == nil)
	}
}

// shape returns what the configuration says of the engines of the group.
func (s *Sidecar) shape() *route.Group {
	cfg := s.view.Config()
	if cfg == nil {
		return nil
	}
	shape := cfg.Services[s.settings.Service].Group
	if shape == nil {
		return nil
	}
	known := *shape
	known.MaxEventGap = cfg.MaxEventGap(s.settings.Service)
	return &known
}

// members returns the ranks of the service as this sidecar reaches them, or none
// until the list of upstreams was read.
func (s *Sidecar) members(planner group.PlannerInfo) []group.Member {
	if !s.listed.Load() {
		return nil
	}
	var members []group.Member
	for _, u := range s.view.Fleet().All(s.settings.Service) {
		if u.Address == s.settings.UpstreamAddress {
			members = append(members, &group.Local{
				Sidecar:  s.group,
				Planner:  planner,
				Upstream: u.Address,
			})
			continue
		}
		address, ok := sidecarOf(u, s.settings.PeerPort)
		if !ok {
			continue // the decoder lets no such address pass
		}
		members = append(members, &group.Peer{
			Sidecar:    address,
			Client:     s.client,
			Planner:    planner,
			Upstream:   u.Address,
			DirectRank: platform.NewRank(s.client, u.Address),
		})
	}
	return members
}

// sidecarOf returns the address of the sidecar beside an upstream.
func sidecarOf(u route.Upstream, port int) (foxtailstack.Address, bool) {
	host, _, err := net.SplitHostPort(string(u.Address))
	if err != nil {
		return "", false
	}
	return foxtailstack.Address(net.JoinHostPort(host, strconv.Itoa(port))), true
}

// newPeerClient returns the client for messages to sidecars and ranks.
func newPeerClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     peerIdle,
		},
	}
}
