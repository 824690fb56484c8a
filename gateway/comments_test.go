package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// Guards against a stalled stream that never leaves its rank because that sends a comment
// now and then, which keeps the connection open and is no progress.
func TestStalledStreamWithCommentsLeavesRank(t *testing.T) {
	const comment = ": still here\n\n"
	stalled := func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, r, 1, 4)
		stallEnd := time.Now().Add(stallDuration)
		for r.Context().Err() == nil && time.Now().Before(stallEnd) {
			_, _ = io.WriteString(w, comment) // the entry may have left
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * passTime)
		}
		panic(http.ErrAbortHandler)
	}
	resuming := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
		writeEvents(w, r, from+1, 10)
	}
	worker := inOrder(&callCounter{}, stalled, resuming)
	tg := newTestGatewayFor(t, "models", worker, worker)
	tg.timeout = callerTimeout
	tg.runPasses(t)
	began := time.Now()
	got := tg.send(t, http.MethodPost, "/model/x")
	got.Body = strings.ReplaceAll(got.Body, comment, "")
	want := callerResponse{
		Status: http.StatusOK,
		Body:   wantEvents(1, 10),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("response without comments differs (-want +got):\n%s", diff)
	}
	if time.Since(began) > stallDuration/2 {
		t.Errorf("response took %s, want at most half the stall of the rank", time.Since(began))
	}
}
