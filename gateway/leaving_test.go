package gateway_test

import (
	"net/http"
	"testing"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// leaving returns a worker that says in its answers that it leaves.
func leaving(worker http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(standin.HeaderLeaving, "1")
		worker(w, r)
	}
}

// Guards against requests to an upstream that has said in an answer, a refusal, a stream or
// a broken answer that it leaves, while the store does not know yet.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	tests := map[string]struct {
		path   string
		worker http.HandlerFunc
	}{
		"answer": {
			path:   "/lookup/x",
			worker: good,
		},
		"refusal": {
			path:   "/lookup/x",
			worker: refusing,
		},
		"failure": {
			path:   "/lookup/x",
			worker: failing,
		},
		"stream": {
			path:   "/stream/x",
			worker: func(w http.ResponseWriter, r *http.Request) { writeEvents(w, r, 1, 3) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &callCounter{}
			tg := newTestGateway(t, inOrder(c, leaving(test.worker)))
			tg.send(t, http.MethodPost, test.path)
			want := callerResponse{
				Status:     http.StatusServiceUnavailable,
				Body:       "no-upstream\n",
				RetryAfter: true,
			}
			if diff := cmp.Diff(want, tg.send(t, http.MethodPost, test.path)); diff != "" {
				t.Errorf("response while the only upstream leaves (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1, c.count()); diff != "" {
				t.Errorf("requests at the upstream (-want +got):\n%s", diff)
			}
		})
	}
}
