package machine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/fallback"
	"github.com/foxtailstack/foxtailstack/gateway"
	"github.com/foxtailstack/foxtailstack/group"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/memory"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/watch"
	"go.uber.org/zap"
)

const (
	// drainDelay is the longest time that an entry still accepts connections after the
	// request to stop, so that the platform can see that it is not ready and stop sending
	// callers. The time is half the grace period if that is shorter.
	drainDelay = 3 * time.Second
	// stopMargin is the time between the last answers to the remaining requests and the end
	// of the grace period, when the platform kills the process. closeMargin is the part of it
	// that is left when connections are cut off.
	stopMargin  = 300 * time.Millisecond
	closeMargin = 150 * time.Millisecond
	// headerTimeout bounds the time to read a request's header. The limit of the
	// configuration, route.Limits.HeaderTimeout, is not enforced at present.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request is kept open. The limit of
	// the configuration, route.Limits.IdleTimeout, is not enforced at present.
	idleTimeout = time.Minute
	// maxHeaderBytes is the limit that net/http sets on the size of a head that it reads.
	// The limit of the configuration, route.Limits.Header, is not enforced at present.
	maxHeaderBytes = 32 << 10
	// heldDivisor is the part of the memory of the process that may be held for callers.
	// The collector of the runtime may need as much again, and the rest of the process the
	// other half.
	heldDivisor = 4
	// incomingDivisor is the part of the memory of the process that heads and events may take
	// that are being read from upstreams, and upstreamDivisor the part of that for one of them.
	incomingDivisor = 16
	upstreamDivisor = 4
	// replyDivisor is the part of the memory of a process that responses of the store, of
	// ranks and of sidecars may take while they are read.
	replyDivisor = 16
	// answerDivisor is the part of what is held for callers that responses of one upstream
	// may take.
	answerDivisor = 2
	// sweepInterval is the time between two checks for expired idle connections.
	sweepInterval = 2 * time.Second
)

// Entry is the process that receives callers' requests and sends them to upstreams.
type Entry struct {
	settings platform.Settings
	log      *zap.Logger
	store    *platform.Store
	// replies counts what is read of responses of the store and of sidecars.
	replies           *memory.Account
	view              *watch.View
	scheduler         *dispatch.Scheduler
	pool              *exchange.Pool
	crashes           *quarantine.Table
	fallback          *fallback.Client
	suspension        *watch.Suspension
	gateway           *gateway.Gateway
	callerListener    net.Listener
	readinessListener net.Listener
}

// NewEntry returns an Entry that listens on the addresses of cfg for callers and for
// readiness checks. Run serves them.
func NewEntry(cfg platform.Settings, log *zap.Logger) (*Entry, error) {
	e := &Entry{
		settings: cfg,
		log:      log,
		store:    platform.NewStore(cfg.StoreURL),
		replies:  &memory.Account{Bound: cfg.MemoryLimit / replyDivisor},
		pool:     &exchange.Pool{},
	}
	e.store.CountIn(e.replies)
	e.view = newView(cfg, log)
	e.scheduler = &dispatch.Scheduler{
		Fleet:    e.view.Fleet,
		Instance: cfg.Name,
		Cold:     e.coldLimit,
		Log:      log,
	}
	e.fallback = &fallback.Client{
		HTTP:     newPeerClient(e.replies),
		Sidecars: e.groupSidecars,
		Log:      log,
	}
	e.crashes = &quarantine.Table{
		Fallback:  e.fallback,
		List:      &quarantine.List{},
		Writer:    e.store,
		Name:      platform.TableCrashes,
		MaxWrites: platform.MaxWrites,
		Instance:  cfg.Name,
		Log:       log,
	}
	detector := &quarantine.Detector{
		Fleet:  e.view.Fleet,
		Prober: e.pool,
		Report: e.crashes.Report,
	}
	e.view.OnFleetChange = func() {
		e.scheduler.FleetChanged()
		detector.FleetChanged()
	}
	e.suspension = &watch.Suspension{
		Confirmed: e.view.ConfigConfirmed,
		Now:       clock.Boot,
		Log:       log,
	}
	e.gateway = &gateway.Gateway{
		View:      e.view,
		Scheduler: e.scheduler,
		RetryBudget: &dispatch.RetryBudget{
			Ratio:     cfg.Bounds.RetryRatio,
			Window:    cfg.Bounds.RetryWindow,
			Slack:     cfg.Bounds.RetrySlack,
			LoadShare: e.scheduler.LoadShare,
			Started:   time.Now(),
		},
		Pool:          e.pool,
		Quarantine:    e.crashes,
		Crashes:       detector,
		Suspension:    e.suspension,
		Codec:         platform.Codec{},
		KeyRevocation: cfg.Bounds.KeyRevocation,
		Now:           clock.Boot,
		Log:           log,
		Memory:        memory.Account{Bound: cfg.MemoryLimit / heldDivisor},
		AnswerShare:   cfg.MemoryLimit / heldDivisor / answerDivisor,
		Incoming: memory.Shares{
			Account: &memory.Account{Bound: cfg.MemoryLimit / incomingDivisor},
			Bound:   cfg.MemoryLimit / incomingDivisor / upstreamDivisor,
		},
	}
	var err error
	e.callerListener, err = net.Listen("tcp", string(cfg.CallerAddress))
	if err != nil {
		return nil, err
	}
	e.readinessListener, err = net.Listen("tcp", string(cfg.ReadinessAddress))
	if err != nil {
		_ = e.callerListener.Close() // the error of the second listener is returned
		return nil, err
	}
	return e, nil
}

// newView returns an empty View that decodes the rows of the platform's store.
func newView(cfg platform.Settings, log *zap.Logger) *watch.View {
	return &watch.View{
		Decoder: watch.Decoder{
			ConfigRow:  platform.RowConfig,
			Config:     platform.DecodeConfig,
			Upstream:   platform.DecodeUpstream,
			Evacuation: platform.DecodeEvacuation,
		},
		Regions: cfg.Regions,
		Log:     log,
	}
}

// Run serves until ctx is done and the requests in progress have finished or the
// grace period of the platform is about to end. It returns an error if the listener
// for callers fails or requests were cut off.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info("entry started", zap.String("callers", string(e.settings.CallerAddress)), zap.Int("pid", os.Getpid()))
	// The store is followed until the requests in progress have finished.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.followStore(background)
	go e.suspension.Run(background)
	go e.watchGroups(background)
	go e.sweepConnections(background)
	statusServer := &http.Server{
		Handler:           e.statusHandler(),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	go func() { _ = statusServer.Serve(e.readinessListener) }()
	server := &http.Server{
		Handler:           e.gateway,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       gateway.ConnContext,
		ErrorLog:          zap.NewStdLog(e.log),
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(e.callerListener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	err := e.shutDown(server)
	_ = stopServer(statusServer) // the process ends; an error has no effect
	return err
}

// shutDown reports not ready, accepts connections for up to drainDelay and then waits
// for the requests in progress until shortly before the end of the grace period. What cannot
// be done until then is refused or answered before (see gateway.Gateway.Drain).
func (e *Entry) shutDown(server *http.Server) error {
	e.log.Info("entry stopping")
	end := time.Now().Add(e.settings.Bounds.GracePeriod)
	e.gateway.Drain(end.Add(-stopMargin))
	time.Sleep(min(drainDelay, e.settings.Bounds.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(-closeMargin))
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		e.log.Warn("requests cut at the end of the grace period", zap.Error(err))
		return errors.Join(err, server.Close())
	}
	e.log.Info("entry stopped")
	return nil
}

// decodeUses returns the uses in a status in the form of the scheduler.
func decodeUses(uses []group.UrgencyUse) []dispatch.UrgencyUse {
	var decoded []dispatch.UrgencyUse
	for _, use := range uses {
		decoded = append(decoded, dispatch.UrgencyUse{
			Urgency:  use.Urgency,
			Running:  use.Running,
			Arrivals: float64(use.Arrivals),
		})
	}
	return decoded
}

// statusHandler returns the handler for the platform's readiness checks and for the
// metrics. It also registers the Entry's gauges, which belong to the process: with a
// second Entry in the process the gauges of the first one stay.
func (e *Entry) statusHandler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !e.gateway.Ready() {
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
	metrics.GetOrCreateGauge("foxtailstack_dispatch_cold_upstreams", func() float64 { return float64(e.scheduler.ColdUpstreams()) })
	for centre := range e.settings.Regions {
		e.registerCentreGauges(centre)
	}
	metrics.GetOrCreateGauge("foxtailstack_fleet_upstreams", func() float64 { return float64(e.view.Fleet().Len()) })
	metrics.GetOrCreateGauge("foxtailstack_gateway_connections_made", func() float64 { return float64(e.pool.Dials()) })
	metrics.GetOrCreateGauge("foxtailstack_gateway_bytes_held", func() float64 { return float64(e.gateway.Memory.Held()) })
	metrics.GetOrCreateGauge("foxtailstack_gateway_bytes_incoming", func() float64 { return float64(e.gateway.Incoming.Account.Held()) })
	metrics.GetOrCreateGauge("foxtailstack_gateway_bytes_replies", func() float64 { return float64(e.replies.Held()) })
	return mux
}

// serveMetrics writes the metrics of the process in the Prometheus text format.
func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}

// sweepConnections closes expired idle connections to upstreams until ctx is done.
func (e *Entry) sweepConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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
