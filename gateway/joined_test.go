package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/gateway"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// withStatus returns a worker that answers with a status, a content type and a body, with the
// proof of origin.
func withStatus(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		standin.Prove(w, r)
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against a stream that broke off and goes on with an error's text, with another run
// or with a gap, or ends as if it were complete.
func TestBrokenStreamIsNotJoined(t *testing.T) {
	const (
		text   = "text/plain"
		events = "text/event-stream"
	)
	breaks := func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, r, 1, 4)
		panic(http.ErrAbortHandler)
	}
	cut := callerResponse{
		Status:    http.StatusOK,
		Body:      wantEvents(1, 4),
		Truncated: true,
	}
	tests := map[string]struct {
		first, next http.HandlerFunc
		want        callerResponse
	}{
		"an error": {next: failing},
		"an error as a stream": {
			next: withStatus(http.StatusInternalServerError, events, wantEvents(5, 10)),
		},
		"an error without the proof": {
			next: func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "broken", http.StatusBadGateway) },
		},
		"not found":            {next: withStatus(http.StatusNotFound, text, "not here")},
		"another content type": {next: withStatus(http.StatusOK, text, wantEvents(5, 10))},
		"no content":           {next: withStatus(http.StatusNoContent, events, "")},
		"partial content":      {next: withStatus(http.StatusPartialContent, events, wantEvents(5, 10))},
		"no event":             {next: withStatus(http.StatusOK, events, "")},
		"a comment only": {
			next: withStatus(http.StatusOK, events, ": still here\n\n"),
			want: callerResponse{
				Status:    http.StatusOK,
				Body:      wantEvents(1, 4) + ": still here\n\n", // no part of the stream
				Truncated: true,
			},
		},
		"only what the caller has": {next: withStatus(http.StatusOK, events, wantEvents(1, 3))},
		"a gap":                    {next: withStatus(http.StatusOK, events, wantEvents(6, 10))},
		"events without IDs":       {next: withStatus(http.StatusOK, events, "data: event 5\n\n")},
		"a cut head":               {next: headThen("", 60)},
		"from the start": {
			next: withStatus(http.StatusOK, events, wantEvents(1, 10)),
			want: callerResponse{
				Status: http.StatusOK,
				Body:   wantEvents(1, 10),
			},
		},
		"the rest": {
			next: withStatus(http.StatusOK, events, wantEvents(5, 10)),
			want: callerResponse{
				Status: http.StatusOK,
				Body:   wantEvents(1, 10),
			},
		},
		"the rest after events without IDs": {
			first: func(w http.ResponseWriter, r *http.Request) {
				standin.Prove(w, r)
				w.Header().Set("Content-Type", events)
				_, _ = io.WriteString(w, "data: event 1\n\n")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
			next: withStatus(http.StatusOK, events, "data: event 1\n\ndata: event 2\n\n"),
			want: callerResponse{
				Status:    http.StatusOK,
				Body:      "data: event 1\n\n",
				Truncated: true,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, want := test.first, test.want
			if first == nil {
				first = breaks
			}
			if want.Status == 0 {
				want = cut
			}
			c := &callCounter{}
			worker := inOrder(c, first, test.next)
			got := newTestGateway(t, worker, worker).send(t, http.MethodPost, "/stream/x")
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("response differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against IDs that go up by more than one and are taken for a gap.
func TestSteppedStreamResumes(t *testing.T) {
	stepped := func(w http.ResponseWriter, r *http.Request, from, to int) {
		standin.Prove(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := from; n <= to; n += 10 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event\n\n", n)
		}
		_ = http.NewResponseController(w).Flush()
	}
	breaks := func(w http.ResponseWriter, r *http.Request) {
		stepped(w, r, 10, 30)
		panic(http.ErrAbortHandler)
	}
	resumes := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
		stepped(w, r, last+10, 50)
	}
	worker := inOrder(&callCounter{}, breaks, resumes)
	got := newTestGateway(t, worker, worker).send(t, http.MethodPost, "/stream/x")
	if got.Truncated || got.Status != http.StatusOK {
		t.Errorf("got %+v, want a whole stream", got)
	}
}

// Guards against the status of a stream that is replaced by 200.
func TestStreamKeepsStatus(t *testing.T) {
	got := newTestGateway(t, withStatus(http.StatusAccepted, "text/event-stream", wantEvents(1, 2))).send(t, http.MethodPost, "/once/x")
	want := callerResponse{
		Status: http.StatusAccepted,
		Body:   wantEvents(1, 2),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("response differs (-want +got):\n%s", diff)
	}
}

// Guards against a stream that is cut for a caller of HTTP/1.0, to whom the end of the
// connection is the end of the response.
func TestCutStreamIsResetForHTTP10(t *testing.T) {
	breaks := func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, r, 1, 4)
		panic(http.ErrAbortHandler)
	}
	tests := map[string]struct {
		path   string
		worker http.HandlerFunc
		want   error
	}{
		"cut stream": {
			path:   "/once/x",
			worker: breaks,
			want:   syscall.ECONNRESET,
		},
		"whole stream": {
			path:   "/once/x",
			worker: func(w http.ResponseWriter, r *http.Request) { writeEvents(w, r, 1, 4) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tg := newTestGateway(t, test.worker)
			tg.server = httptest.NewUnstartedServer(tg.gateway)
			tg.server.Config.ConnContext = gateway.ConnContext
			tg.server.Start()
			defer tg.server.Close()
			conn := tg.rawRequest(t, "POST "+test.path+" HTTP/1.0", "r1", time.Second)
			_, err := io.Copy(io.Discard, conn)
			if !errors.Is(err, test.want) {
				t.Errorf("the connection ended with %v, want %v", err, test.want)
			}
		})
	}
}
