package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// writeEvents writes the events with IDs from through to.
func writeEvents(w http.ResponseWriter, r *http.Request, from, to int) {
	standin.Prove(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from; n <= to; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// wantEvents returns the body of a stream with the events from through to.
func wantEvents(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

func TestStreams(t *testing.T) {
	resumed := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
		writeEvents(w, r, from+1, 10)
	}
	breaks := func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, r, 1, 4)
		_, _ = io.WriteString(w, "id: 5\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	repeats := func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, r, 3, 10)
	}
	tests := map[string]struct {
		path    string
		workers []http.HandlerFunc
		want    callerResponse
	}{
		"whole": {
			path:    "/stream/x",
			workers: []http.HandlerFunc{resumed},
			want: callerResponse{
				Status: 200,
				Body:   wantEvents(1, 10),
			},
		},
		"resumes at another worker after a break within an event": {
			path:    "/stream/x",
			workers: []http.HandlerFunc{breaks, resumed},
			want: callerResponse{
				Status: 200,
				Body:   wantEvents(1, 10),
			},
		},
		"skips events that were sent already": {
			path:    "/stream/x",
			workers: []http.HandlerFunc{breaks, repeats},
			want: callerResponse{
				Status: 200,
				Body:   wantEvents(1, 10),
			},
		},
		"breaks twice and is truncated": {
			path:    "/stream/x",
			workers: []http.HandlerFunc{breaks, breaks},
			want: callerResponse{
				Status:    200,
				Body:      wantEvents(1, 4),
				Truncated: true,
			},
		},
		"does not resume on a route that is not resumable": {
			path:    "/once/x",
			workers: []http.HandlerFunc{breaks, resumed},
			want: callerResponse{
				Status:    200,
				Body:      wantEvents(1, 4),
				Truncated: true,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &callCounter{}
			var workers []http.HandlerFunc
			for range test.workers {
				workers = append(workers, inOrder(c, test.workers...))
			}
			got := newTestGateway(t, workers...).send(t, http.MethodPost, test.path)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("response differs (-want +got):\n%s", diff)
			}
		})
	}
}
