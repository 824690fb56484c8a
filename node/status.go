package node

import (
	"context"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

// statusHandler serves /healthz, /readyz and /metrics.
func statusHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	return mux
}

// listenStatus binds the address for health checks and metrics, if one is set.
func listenStatus(address foxtailstack.Address) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	return listenHTTP(address, nil, true)
}

// serveStatus serves the health checks and metrics until ctx ends.
func (b *base) serveStatus(ctx context.Context, ready func() bool) {
	if b.status == nil {
		return
	}
	err := serveHTTP(ctx, b.status, statusHandler(ready), b.grace())
	if err != nil {
		b.log.Warn("status listener failed", zap.Error(err))
	}
}
