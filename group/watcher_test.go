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

// An entry finds the planners of all groups behind a service, whichever sidecars
// they are, and goes on with the others once one is gone.
func TestWatcherFindsAllPlanners(t *testing.T) {
	const groups, ranks = 3, 4
	var mu sync.Mutex
	told := make(map[Name]int)
	var pairs []RankEndpoints
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
			pairs = append(pairs, RankEndpoints{
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
		Endpoints: func() []RankEndpoints { return pairs },
		OnStatus: func(status Status) {
			mu.Lock()
			defer mu.Unlock()
			told[status.Group]++
		},
		Log: zap.NewNop(),
	}
	for range 40 {
		for _, address := range w.due() {
			w.question(t.Context(), address)
		}
	}
	if len(told) != groups {
		t.Errorf("heard of %v, want %d groups", told, groups)
	}
	planners[0].Close()
	clear(told)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 10 {
		for _, address := range w.due() {
			w.question(ctx, address)
		}
	}
	if told["g1"] < 3 || told["g2"] < 3 {
		t.Errorf("heard of %v once a planner was gone, want the two others going on", told)
	}
}
