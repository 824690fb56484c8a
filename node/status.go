package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

// pathReady is the path that tells whether a process takes new work.
const pathReady = "/readyz"

// statusHandler serves /healthz, /readyz and /metrics.
func (b *base) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc(pathReady, b.serveReady)
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	if b.steps != nil {
		mux.Handle(pathStep, b.steps)
	}
	return mux
}

// listenStatus binds the address for health checks and metrics, if one is set. It
// serves without TLS on loopback only.
func listenStatus(address foxtailstack.Address, cfg *tls.Config) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	parsed, err := netip.ParseAddrPort(string(address))
	plain := err == nil && parsed.Addr().IsLoopback()
	return listenHTTP(address, cfg, plain)
}

// serveStatus serves the health checks and metrics until ctx ends.
func (b *base) serveStatus(ctx context.Context) {
	if b.status == nil {
		return
	}
	err := serveHTTP(ctx, b.status, b.statusHandler(), b.grace(), nil)
	if err != nil {
		b.log.Warn("status listener failed", zap.Error(err))
	}
}
