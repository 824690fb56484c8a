package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// Guards against a request that runs and is refused, or runs twice, because a worker writes
// its refusal of an earlier attempt once more on a kept connection.
func TestRepeatedRefusalOnKeptConnectionIsNotOfNextAttempt(t *testing.T) {
	for _, path := range []string{"/booking/x", "/lookup/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			calls, runs := callCounter{}, callCounter{}
			worker := httptest.NewUnstartedServer(inOrder(&calls, refusing, func(w http.ResponseWriter, r *http.Request) {
				runs.next()
				good(w, r)
			}))
			worker.Listener = standin.RepeatingListener{Listener: worker.Listener}
			worker.Start()
			t.Cleanup(worker.Close)
			tg := newTestGateway(t)
			row := standin.WorkerRow("w0", "drafts", worker.Listener.Addr().String())
			tg.view.ReplaceFleet([]foxtailstack.Record{row}, 1)
			got := tg.send(t, http.MethodPost, path)
			want := callerResponse{
				Status: http.StatusOK,
				Body:   "answer",
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("response differs (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1, runs.count()); diff != "" {
				t.Errorf("runs differ (-want +got):\n%s", diff)
			}
		})
	}
}
