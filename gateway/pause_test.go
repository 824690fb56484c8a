package gateway_test

import (
	"net/http"
	"testing"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// pausing returns a worker that refuses with a status and asks for a pause. With ran it
// answers that it has run the request.
func pausing(ran bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "1.5")
		if ran {
			standin.Prove(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		refusing(w, r)
	}
}

// Guards against requests that reach an upstream within the time for which it has asked for
// none with a 503, and against callers that are not told at once when all upstreams have.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	for name, ran := range map[string]bool{
		"refused": false,
		"ran":     true,
	} {
		t.Run(name, func(t *testing.T) {
			c := &callCounter{}
			tg := newTestGateway(t, inOrder(c, pausing(ran)))
			tg.send(t, http.MethodPost, "/booking/x")
			want := callerResponse{
				Status:     http.StatusServiceUnavailable,
				Body:       "upstreams-paused\n",
				RetryAfter: true,
			}
			if diff := cmp.Diff(want, tg.send(t, http.MethodPost, "/booking/x")); diff != "" {
				t.Errorf("response while the only upstream wants a pause (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1, c.count()); diff != "" {
				t.Errorf("requests at the upstream (-want +got):\n%s", diff)
			}
		})
	}
}
