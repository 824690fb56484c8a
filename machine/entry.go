package machine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/gateway"
	"github.com/foxtailstack/foxtailstack/group"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/watch"
	"go.uber.org/zap"
)

const (
	// feedWait is how long a call to the store may wait for a change. Each answer
	// also proves that what is known is current.
	feedWait = 1500 * time.Millisecond
	// proofs is the number of answers of the store in the time of revocation.
	proofs = 3
	// fleetWait is the same for the list of upstreams.
	fleetWait = 2500 * time.Millisecond
	// leaveTime is how long new connections are taken after the request to stop,
	// until the platform has noticed.
	leaveTime = 3 * time.Second
	// stopMargin is the time between the end of the last requests and the forced
	// end of the process.
	stopMargin = 300 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection may stay without a request.
	idleTimeout = time.Minute
	// maxHeader is the length of the longest header of a request in bytes.
	maxHeader = 32 << 10
	// watchGroupsPause is the time between two looks for services with a group.
	watchGroupsPause = time.Second
	// sweepPause is the time between two looks for idle connections that have expired.
	sweepPause = 2 * time.Second
)

// Entry takes callers' requests.
type Entry struct {
	settings platform.Settings
	log      *zap.Logger
	view     *watch.View
	board    *dispatch.Scheduler
	pool     *exchange.Pool
	gateway  *gateway.Gateway
	callers  net.Listener
	ready    net.Listener
	leaving  atomic.Bool
}

// NewEntry binds the addresses of an entry.
func NewEntry(cfg platform.Settings, log *zap.Logger) (*Entry, error) {
	e := &Entry{
		settings: cfg,
		log:      log,
		pool:     &exchange.Pool{},
	}
	e.view = newView(log)
	e.board = &dispatch.Scheduler{
		Fleet: e.view.Fleet,
		Log:   log,
	}
	e.view.OnFleetChange = e.board.FleetChanged
	e.gateway = &gateway.Gateway{
		View:      e.view,
		Scheduler: e.board,
		RetryBudget: &dispatch.RetryBudget{
			Ratio:  cfg.Bounds.RetryRatio,
			Window: cfg.Bounds.RetryWindow,
			Slack:  cfg.Bounds.RetrySlack,
		},
		Pool:          e.pool,
		Codec:         platform.Codec{},
		KeyRevocation: cfg.Bounds.KeyRevocation,
		Now:           clock.Boot,
		Log:           log,
	}
	var err error
	e.callers, err = net.Listen("tcp", string(cfg.CallerAddress))
	if err != nil {
		return nil, err
	}
	e.ready, err = net.Listen("tcp", string(cfg.ReadinessAddress))
	if err != nil {
		_ = e.callers.Close() // the error of the other listener counts
		return nil, err
	}
	return e, nil
}

// newView returns an empty view that reads the rows of the platform.
func newView(log *zap.Logger) *watch.View {
	return &watch.View{
		Decoder: watch.Decoder{
			ConfigRow: platform.RowConfig,
			Config:    platform.DecodeConfig,
			Upstream:  platform.DecodeUpstream,
		},
		Log: log,
	}
}

// Run serves until ctx ends and the requests in progress have finished.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info("entry started", zap.String("callers", string(e.settings.CallerAddress)), zap.Int("pid", os.Getpid()))
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.follow(background)
	go e.watchGroups(background)
	go e.sweep(background)
	status := &http.Server{
		Handler:           e.statusHandler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	go func() { _ = status.Serve(e.ready) }()
	server := &http.Server{
		Handler:           e.gateway,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          zap.NewStdLog(e.log),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(e.callers) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	err := e.stop(server)
	_ = status.Close() // the process ends
	return err
}

// stop lets callers leave and waits for the requests in progress.
func (e *Entry) stop(server *http.Server) error {
	e.log.Info("entry stopping")
	deadline := time.Now().Add(e.settings.Bounds.GracePeriod - stopMargin)
	e.leaving.Store(true)
	e.gateway.Drain()
	time.Sleep(min(leaveTime, e.settings.Bounds.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		e.log.Warn("requests cut at the end of the grace period", zap.Error(err))
		return errors.Join(err, server.Close())
	}
	e.log.Info("entry stopped")
	return nil
}

// follow starts to follow the configuration and the fleet.
func (e *Entry) follow(ctx context.Context) {
	store := platform.NewStore(e.settings.StoreURL)
	config := &watch.Follower{
		Feed:            store,
		Table:           platform.TableConfig,
		LongPollTimeout: configWait(e.settings.Bounds.KeyRevocation),
		Replace:         e.view.SetConfig,
		Update:          e.view.SetConfig,
		ConfirmCurrent:  e.view.ConfirmConfig,
		Now:             clock.Boot,
		Log:             e.log,
	}
	upstreams := &watch.Follower{
		Feed:            store,
		Table:           platform.TableUpstreams,
		LongPollTimeout: fleetWait,
		Replace:         e.view.ReplaceFleet,
		Update:          e.view.UpdateFleet,
		Now:             clock.Boot,
		Log:             e.log,
	}
	go config.Run(ctx)
	go upstreams.Run(ctx)
}

// watchGroups asks for the state of the group behind each service that has one.
func (e *Entry) watchGroups(ctx context.Context) {
	client := newPeerClient()
	watched := make(map[foxtailstack.ServiceName]bool)
	for clock.Sleep(ctx, watchGroupsPause) == nil {
		cfg := e.view.Config()
		if cfg == nil {
			continue
		}
		for name, service := range cfg.Services {
			if service.Group == nil || watched[name] {
				continue
			}
			watched[name] = true
			watcher := &group.Watcher{
				Client:    client,
				Endpoints: func() []group.RankEndpoints { return e.pairs(name) },
				OnStatus:  func(status group.Status) { e.tell(name, status) },
				Log:       e.log,
			}
			go watcher.Run(ctx)
		}
	}
}

// pairs returns the upstreams of a service with the sidecars beside them.
func (e *Entry) pairs(service foxtailstack.ServiceName) []group.RankEndpoints {
	var pairs []group.RankEndpoints
	for _, u := range e.view.Fleet().Ready(service) {
		address, ok := sidecarOf(u, e.settings.PeerPort)
		if ok {
			pairs = append(pairs, group.RankEndpoints{
				Upstream: u.Address,
				Sidecar:  address,
			})
		}
	}
	return pairs
}

// tell passes the status of a group on to the board.
func (e *Entry) tell(service foxtailstack.ServiceName, status group.Status) {
	ranks := make(map[foxtailstack.Address]dispatch.RankLoad, len(status.Ranks))
	for _, rank := range status.Ranks {
		ranks[rank.Address] = dispatch.RankLoad{
			Load: exchange.Load{
				Running: rank.Running,
				Waiting: rank.Waiting,
			},
			Slowdown: rank.Slowdown,
		}
	}
	e.board.ObserveGroup(service, dispatch.GroupName(status.Group), ranks, status.Age)
}

// configWait returns how long a call for changes of the configuration may wait, so
// that keys are proved current at least twice in the time in which a removed one
// must stop working.
func configWait(revocation time.Duration) time.Duration {
	if revocation == 0 {
		return feedWait
	}
	return min(feedWait, revocation/proofs)
}

// statusHandler serves the platform's question for readiness and the metrics.
func (e *Entry) statusHandler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if e.leaving.Load() || !e.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}, http.MethodGet)
	mux.HandleFunc("/metrics", serveMetrics, http.MethodGet)
	metrics.GetOrCreateGauge("foxtailstack_config_version", func() float64 {
		cfg := e.view.Config()
		if cfg == nil {
			return 0
		}
		return float64(cfg.Version)
	})
	metrics.GetOrCreateGauge("foxtailstack_config_age_seconds", func() float64 { return e.view.ConfigAge(clock.Boot()).Seconds() })
	metrics.GetOrCreateGauge("foxtailstack_fleet_upstreams", func() float64 { return float64(e.view.Fleet().Len()) })
	metrics.GetOrCreateGauge("foxtailstack_gateway_connections_made", func() float64 { return float64(e.pool.Dials()) })
	return mux
}

// serveMetrics writes the metrics of the process.
func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}

// sweep closes idle connections that have expired.
func (e *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.pool.Sweep(now)
		}
	}
}
