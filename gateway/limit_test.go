package gateway_test

import (
	"net/http"
	"testing"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// limiting returns a worker that serves requests or refuses them, and names a limit of one
// request in ten seconds in either answer.
func limiting(refuses bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Limit", "0.1")
		if refuses {
			standin.Refuse(w, r)
			return
		}
		good(w, r)
	}
}

// Guards against a limit that is not seen in a refusal, and against callers that wait, or
// are told nothing, while the limits of all upstreams are used up.
func TestLimitedUpstreamIsLeftAlone(t *testing.T) {
	for name, refuses := range map[string]bool{
		"served":  false,
		"refused": true,
	} {
		t.Run(name, func(t *testing.T) {
			c := &callCounter{}
			tg := newTestGateway(t, inOrder(c, limiting(refuses)))
			tg.send(t, http.MethodPost, "/booking/x")
			want := callerResponse{
				Status:     http.StatusServiceUnavailable,
				Body:       "upstreams-limited\n",
				RetryAfter: true,
			}
			if diff := cmp.Diff(want, tg.send(t, http.MethodPost, "/booking/x")); diff != "" {
				t.Errorf("response while the limit of the only upstream is used up (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1, c.count()); diff != "" {
				t.Errorf("requests at the upstream (-want +got):\n%s", diff)
			}
		})
	}
}
