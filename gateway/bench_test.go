package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/gateway"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/watch"
	"go.uber.org/zap"
)

// BenchmarkLookup measures a lookup over loopback with caller, gateway and worker
// in one process.
func BenchmarkLookup(b *testing.B) {
	worker := httptest.NewServer(http.HandlerFunc(good))
	defer worker.Close()
	view := &watch.View{
		Decoder: watch.Decoder{
			ConfigRow: platform.RowConfig,
			Config:    platform.DecodeConfig,
			Upstream:  platform.DecodeUpstream,
		},
		Log: zap.NewNop(),
	}
	view.ReplaceFleet([]foxtailstack.Record{standin.WorkerRow("w", "drafts", worker.Listener.Addr().String())}, 1)
	view.SetConfig([]foxtailstack.Record{standin.ConfigRow(1)}, 1)
	g := &gateway.Gateway{
		View:        view,
		Scheduler:   &dispatch.Scheduler{Fleet: view.Fleet},
		RetryBudget: &dispatch.RetryBudget{},
		Quarantine:  &quarantine.Table{List: &quarantine.List{}},
		Pool:        &exchange.Pool{},
		Codec:       platform.Codec{},
		Now:         func() time.Duration { return 0 },
		Log:         zap.NewNop(),
	}
	server := httptest.NewServer(g)
	defer server.Close()
	b.ReportAllocs()
	for b.Loop() {
		request, _ := http.NewRequest(http.MethodGet, server.URL+"/lookup/x", nil)
		request.Host = standin.ConfigHost
		request.Header = standin.CallerHeader("r1", standin.ConfigKey, time.Second)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			b.Fatal("lookup:", err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatalf("lookup: got status %d, want 200", response.StatusCode)
		}
	}
}
