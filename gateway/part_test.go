package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// Guards against a part that is not found because the rank falls silent, in place of closing
// its connections, right after the header of its answer; and against one that is blamed
// though content of the answer had come.
func TestSilentRankIncriminatesParts(t *testing.T) {
	tests := map[string]struct {
		events int
		want   int
	}{
		"after the header": {
			want: http.StatusServiceUnavailable,
		},
		"after the first event": {
			events: 1,
			want:   http.StatusOK,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			silent := func(w http.ResponseWriter, r *http.Request) {
				writeEvents(w, r, 1, test.events)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}
			c := &callCounter{}
			sound := func(w http.ResponseWriter, r *http.Request) { writeEvents(w, r, 1, 3) }
			tg := newTestGatewayFor(t, "models", inOrder(c, silent, sound))
			address := string(tg.view.Fleet().Ready("models")[0].Address)
			tg.view.ReplaceFleet([]foxtailstack.Record{standin.StartedWorkerRow("w", "models", address, 1)}, 2)
			tg.timeout = 200 * time.Millisecond
			tg.send(t, http.MethodPost, "/model/x", standin.HeaderParts, "bad:9,own-1:9")
			tg.view.ReplaceFleet([]foxtailstack.Record{standin.StartedWorkerRow("w2", "models", address, 2)}, 3)
			tg.gateway.Crashes.FleetChanged()
			got := tg.send(t, http.MethodPost, "/model/y", standin.HeaderParts, "bad:9,own-2:9")
			if diff := cmp.Diff(test.want, got.Status); diff != "" {
				t.Errorf("status of another request with the part (-want +got):\n%s", diff)
			}
		})
	}
}
