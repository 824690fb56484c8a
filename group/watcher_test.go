package group

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

// newHandler returns the handler of a sidecar.
func newHandler(sidecar *Sidecar) http.Handler {
	mux := flow.New()
	sidecar.Register(mux.HandleFunc)
	return mux
}

// Guards against entries that miss a group behind a service, or lose one whose sidecar
// they ask: the others know its status too.
func TestWatcherFindsAllGroups(t *testing.T) {
	const groups, ranks = 3, 4
	var mu sync.Mutex
	received := make(map[Name]int)
	var endpoints []RankEndpoints
	servers := make(map[foxtailstack.Address]*httptest.Server)
	for g := range groups {
		status := &Status{Group: Name("g" + string(rune('0'+g)))}
		var sidecars []*Sidecar
		for r := range ranks {
			sidecar := &Sidecar{Log: zap.NewNop()}
			server := httptest.NewServer(newHandler(sidecar))
			t.Cleanup(server.Close)
			upstream := foxtailstack.Address(string(status.Group) + string(rune('a'+r)))
			address := foxtailstack.Address(strings.TrimPrefix(server.URL, "http://"))
			servers[address] = server
			endpoints = append(endpoints, RankEndpoints{
				Upstream: upstream,
				Sidecar:  address,
			})
			status.Ranks = append(status.Ranks, RankStatus{Address: upstream})
			sidecars = append(sidecars, sidecar)
		}
		for _, sidecar := range sidecars {
			if !sidecar.learnStatus(NewStatusMessage(status)) {
				t.Fatal("a status with its table of ranks is not understood")
			}
		}
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
	poll := func(rounds int) {
		clear(received)
		for range rounds {
			for _, query := range w.nextQueries() {
				w.run(t.Context(), query)
			}
		}
	}
	poll(40)
	if len(received) != groups {
		t.Errorf("got status of groups %v, want of %d groups", received, groups)
	}
	servers[w.groups["g0"].sidecar].Close()
	poll(10)
	for _, name := range []Name{"g0", "g1", "g2"} {
		if received[name] < 3 {
			t.Errorf("got statuses %v after a sidecar had gone, want at least 3 of each group", received)
			break
		}
	}
}

// Guards against an entry that stays with a sidecar whose status is old, such as one that
// the planner cannot reach.
func TestWatcherLeavesSidecarWithoutStatus(t *testing.T) {
	status := &Status{
		Group: "g",
		Ranks: []RankStatus{{Address: "cut"}, {Address: "well"}},
	}
	var endpoints []RankEndpoints
	for _, rank := range status.Ranks {
		sidecar := &Sidecar{Log: zap.NewNop()}
		message := NewStatusMessage(status)
		if rank.Address == "cut" {
			message.Age = maxStatusAge - 50*time.Millisecond
		}
		sidecar.learnStatus(message)
		server := httptest.NewServer(newHandler(sidecar))
		t.Cleanup(server.Close)
		endpoints = append(endpoints, RankEndpoints{
			Upstream: rank.Address,
			Sidecar:  foxtailstack.Address(strings.TrimPrefix(server.URL, "http://")),
		})
	}
	received := 0
	w := &Watcher{
		Client:    http.DefaultClient,
		Endpoints: func() []RankEndpoints { return endpoints },
		OnStatus:  func(Status) { received++ },
		Log:       zap.NewNop(),
	}
	for range 2 * roundsPerSearch {
		for _, query := range w.nextQueries() {
			query.sidecar = endpoints[0].Sidecar
			w.run(t.Context(), query)
		}
	}
	time.Sleep(60 * time.Millisecond)
	received = 0
	for range 20 {
		for _, query := range w.nextQueries() {
			w.run(t.Context(), query)
		}
	}
	if received < 10 || w.groups["g"].sidecar != endpoints[1].Sidecar {
		t.Errorf("%d statuses in 20 rounds, the last from %s, want at least 10 and %s",
			received, w.groups["g"].sidecar, endpoints[1].Sidecar)
	}
}

// Guards against entries that are counted twice, or for long after they have gone: their
// number decides how many slots and retries each of them takes.
func TestSidecarCountsEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sidecar := &Sidecar{Log: zap.NewNop()}
		for _, from := range []string{"10.0.0.1:1000", "10.0.0.2:1000", "10.0.0.2:1001"} {
			request := httptest.NewRequest(http.MethodGet, pathStatus, nil)
			request.RemoteAddr = from
			newHandler(sidecar).ServeHTTP(httptest.NewRecorder(), request)
		}
		if got := sidecar.countEntries(time.Now()); got != 2 {
			t.Errorf("%d entries are counted, want 2", got)
		}
		time.Sleep(2 * entryTime)
		if got := sidecar.countEntries(time.Now()); got != 0 {
			t.Errorf("%d entries are counted after they have gone, want 0", got)
		}
	})
}
