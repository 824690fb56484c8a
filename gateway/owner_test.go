package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

const (
	// longAnswer is more than the sockets between the gateway and a caller hold.
	longAnswer = 6 << 20
	// ownerTime is how long callers go on.
	ownerTime = 1500 * time.Millisecond
	// routeTime is the timeout of the route of the streams, at which they are cut.
	routeTime = 600 * time.Millisecond
	// ownerEvents is the number of events of a stream, which come eventPause apart.
	ownerEvents = 10
	eventPause  = 10 * time.Millisecond
)

// ownerWorker answers lookups with long answers after a while, and streams with events that
// name their request.
func ownerWorker(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/lookup/") {
		time.Sleep(rand.N(40 * time.Millisecond))
		standin.Prove(w, r)
		w.Header().Set("Content-Length", fmt.Sprint(longAnswer))
		_, _ = w.Write(make([]byte, longAnswer))
		return
	}
	standin.Prove(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= ownerEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, standin.RequestOf(r))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}

// troublesome holds what callers do to their connections after they have sent a request with
// a timeout.
var troublesome = map[string]struct {
	timeout time.Duration
	act     func(conn *net.TCPConn)
}{
	"reads slowly": {
		timeout: 300 * time.Millisecond,
		act:     func(*net.TCPConn) { time.Sleep(400 * time.Millisecond) },
	},
	"closes": {
		timeout: time.Second,
		act:     func(*net.TCPConn) { time.Sleep(rand.N(60 * time.Millisecond)) },
	},
	"ends its side": {
		timeout: time.Second,
		act: func(conn *net.TCPConn) {
			time.Sleep(rand.N(60 * time.Millisecond))
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		},
	},
	"deadline": {
		timeout: 20 * time.Millisecond,
		act:     func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, 1) },
	},
}

// Guards against a connection that has two owners: that of a caller who reads slowly, leaves
// or is out of time aborts it while it carries the stream of another caller.
func TestConnectionHasOneOwner(t *testing.T) {
	tg := newTestGateway(t, ownerWorker, ownerWorker)
	ctx, cancel := context.WithTimeout(t.Context(), ownerTime)
	defer cancel()
	var wg sync.WaitGroup
	var whole atomic.Int64
	for i := range 12 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("stream-%d-%d", i, n)
				began := time.Now()
				got := tg.send(t, http.MethodPost, "/once/x", "Request-Id", id)
				if got.Truncated && time.Since(began) >= routeTime {
					continue // its own time was over: the machine is slow
				}
				want := callerResponse{Status: http.StatusOK}
				for event := 1; event <= ownerEvents; event++ {
					want.Body += fmt.Sprintf("id: %d\ndata: %s\n\n", event, id)
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("stream of a sound caller differs (-want +got):\n%s", diff)
				}
				whole.Add(1)
			}
		})
	}
	for name, caller := range troublesome {
		for i := range 3 {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					lookUp(t, tg, fmt.Sprintf("%s-%d-%d", name, i, n), caller.timeout, caller.act)
				}
			})
		}
	}
	wg.Go(func() { changeFleet(ctx, tg) })
	wg.Wait()
	t.Logf("%d streams", whole.Load())
}

// lookUp sends a request over a connection of its own and does something to that.
func lookUp(t *testing.T, tg *testGateway, id string, timeout time.Duration, act func(conn *net.TCPConn)) {
	t.Helper()
	conn := tg.rawRequest(t, "GET /lookup/x HTTP/1.1", id, timeout)
	defer conn.Close()
	act(conn)
}

// changeFleet gives the configuration and the list of upstreams anew until ctx is done. An
// upstream gets the address of the other for a moment.
func changeFleet(ctx context.Context, tg *testGateway) {
	addresses := make([]string, 0, 2)
	for _, u := range tg.view.Fleet().All("drafts") {
		addresses = append(addresses, string(u.Address))
	}
	for version := 2; ctx.Err() == nil; version++ {
		first := addresses[version%2]
		rows := []foxtailstack.Record{
			standin.WorkerRow("w0", "drafts", first),
			standin.WorkerRow("w1", "drafts", addresses[1]),
		}
		tg.view.ReplaceFleet(rows, foxtailstack.StoreVersion(version))
		tg.view.SetConfig([]foxtailstack.Record{standin.ConfigRow(version)}, foxtailstack.StoreVersion(version))
		time.Sleep(50 * time.Millisecond)
	}
}
