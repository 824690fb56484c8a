package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// Guards against a stream that breaks near its end and is given up because a whole
// stream would not end before its deadline, though the few events left would.
func TestStreamResumesNearItsEnd(t *testing.T) {
	const (
		events    = 50
		brokenAt  = 45
		eventTime = 25 * time.Millisecond
	)
	resuming := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
		writeEvents(w, r, from+1, events)
	}
	breaking := func(w http.ResponseWriter, r *http.Request) {
		for n := 1; n <= brokenAt; n++ {
			writeEvents(w, r, n, n)
			time.Sleep(eventTime)
		}
		panic(http.ErrAbortHandler)
	}
	worker := inOrder(&callCounter{}, breaking, resuming)
	tg := newTestGatewayFor(t, "models", worker, worker)
	tg.timeout = 2 * time.Second
	got := tg.send(t, http.MethodPost, "/model/x", standin.HeaderTokens, "10,250") // 5 tokens an event
	want := callerResponse{
		Status: http.StatusOK,
		Body:   wantEvents(1, events),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("response differs (-want +got):\n%s", diff)
	}
}
