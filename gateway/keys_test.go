package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/watch"
	"go.uber.org/zap"
)

func TestKeys(t *testing.T) {
	tests := map[string]struct {
		key  string
		age  time.Duration
		path string
		want int
	}{
		"known key": {
			key:  standin.ConfigKey,
			path: "/lookup/x",
			want: 200,
		},
		"unknown key": {
			key:  "nobody",
			path: "/lookup/x",
			want: 401,
		},
		"known key, configuration too old": {
			key:  standin.ConfigKey,
			age:  5 * time.Second,
			path: "/lookup/x",
			want: 503,
		},
		"unknown key, configuration too old": {
			key:  "nobody",
			age:  5 * time.Second,
			path: "/lookup/x",
			want: 503,
		},
		"known key, configuration recent enough": {
			key:  standin.ConfigKey,
			age:  4 * time.Second,
			path: "/lookup/x",
			want: 200,
		},
		"public route": {
			age:  time.Hour,
			path: "/public/x",
			want: 200,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var team, key string
			tg := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
				team, key = standin.TeamOf(r)
				good(w, r)
			})
			tg.age = test.age
			got := tg.send(t, http.MethodPost, test.path, standin.HeaderKey, test.key, standin.HeaderTenant, "forged")
			if got.Status != test.want {
				t.Errorf("got status %d, want %d", got.Status, test.want)
			}
			if key != "" {
				t.Error("worker received the caller's API key")
			}
			wantTeam := ""
			if test.want == 200 && test.path == "/lookup/x" {
				wantTeam = standin.ConfigTeam
			}
			if team != wantTeam {
				t.Errorf("worker received team %q, want %q", team, wantTeam)
			}
			// The limit is readyFraction of KeyRevocation, 3.3 s; no tested age is
			// between 3 s and that.
			if tg.gateway.Ready() != (test.age < 3*time.Second) {
				t.Errorf("Ready() = %v at configuration age %v, want true only below 3s", tg.gateway.Ready(), test.age)
			}
		})
	}
}

// Checks that a gateway without a configuration responds with 503 and Retry-After,
// and reports that it is not ready.
func TestNoConfiguration(t *testing.T) {
	tg := newTestGateway(t, good)
	tg.gateway.View = &watch.View{Log: zap.NewNop()}
	got := tg.send(t, http.MethodPost, "/lookup/x")
	if got.Status != http.StatusServiceUnavailable || !got.RetryAfter || tg.gateway.Ready() {
		t.Errorf("got %+v, ready %v; want status 503, Retry-After, not ready", got, tg.gateway.Ready())
	}
}

// Checks that a draining gateway still serves, closes the connection and reports
// that it is not ready.
func TestDrain(t *testing.T) {
	tg := newTestGateway(t, good)
	tg.gateway.Drain(time.Now().Add(time.Minute))
	response, err := http.DefaultClient.Do(func() *http.Request {
		r, _ := http.NewRequest(http.MethodPost, tg.server.URL+"/lookup/x", nil)
		r.Host = standin.ConfigHost
		r.Header = standin.CallerHeader("r1", standin.ConfigKey, time.Second)
		return r
	}())
	if err != nil {
		t.Fatal("send the request:", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK || !response.Close || tg.gateway.Ready() {
		t.Errorf("got status %d, close %v, ready %v; want 200, true, false", response.StatusCode, response.Close, tg.gateway.Ready())
	}
}
