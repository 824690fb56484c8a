package group

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

// An entry must find the planners of all groups behind a service, whichever
// sidecars they run beside, and continue with the others after one has gone.
func TestWatcherFindsAllPlanners(t *testing.T) {
	const groups, ranks = 3, 4
	var mu sync.Mutex
	received := make(map[Name]int)
	var endpoints []RankEndpoints
	var planners []*httptest.Server
	for g := range groups {
		name := Name("g" + string(rune('0'+g)))
		status := &Status{Group: name}
		var sidecars []*Sidecar
		for r := range ranks {
			sidecar := &Sidecar{Log: zap.NewNop()}
			server := httptest.NewServer(sidecar.Handler())
			t.Cleanup(server.Close)
			upstream := foxtailstack.Address(string(name) + string(rune('a'+r)))
			endpoints = append(endpoints, RankEndpoints{
				Upstream: upstream,
				Sidecar:  foxtailstack.Address(strings.TrimPrefix(server.URL, "http://")),
			})
			status.Ranks = append(status.Ranks, RankStatus{Address: upstream})
			sidecars = append(sidecars, sidecar)
			if r == 0 {
				planners = append(planners, server)
			}
		}
		for _, sidecar := range sidecars {
			sidecar.planner.Address = foxtailstack.Address(strings.TrimPrefix(planners[g].URL, "http://"))
		}
		sidecars[0].publish(status)
	}
	w := &Watcher{
		Client:    http.DefaultClient,
		Endpoints: func() []RankEndpoints { return endpoints },
		OnStatus: func(status Status) {
			mu.Lock()
			defer mu.Unlock()
			received[status.Group]++
		},
		Log: zap.NewNop(),
	}
	for range 40 {
		for _, address := range w.nextSidecars() {
			w.query(t.Context(), address)
		}
	}
	if len(received) != groups {
		t.Errorf("got status of groups %v, want of %d groups", received, groups)
	}
	planners[0].Close()
	clear(received)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 10 {
		for _, address := range w.nextSidecars() {
			w.query(ctx, address)
		}
	}
	if received["g1"] < 3 || received["g2"] < 3 {
		t.Errorf("got statuses %v after one planner had gone, want at least 3 of each of the two others", received)
	}
}
