package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// unframed returns a worker that sends a body with neither a length nor chunks, which ends
// with its connection. If reset is set, that is reset.
func unframed(contentType, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: x\r\nContent-Type: %s\r\n\r\n%s",
			standin.RequestOf(r), standin.HeaderProof, contentType, body)
		_ = buffer.Flush() // the entry may have left
		tcp, ok := conn.(*net.TCPConn)
		if ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Guards against an answer without a length that breaks off halfway and reaches the caller
// as a complete success, and against a whole one that is taken for broken.
func TestUnframedResponses(t *testing.T) {
	const (
		text   = "text/plain"
		events = "text/event-stream"
	)
	whole := callerResponse{
		Status: http.StatusOK,
		Body:   wantEvents(1, 4),
	}
	cut := callerResponse{
		Status:    http.StatusOK,
		Body:      wantEvents(1, 4),
		Truncated: true,
	}
	tests := map[string]struct {
		path   string
		worker http.HandlerFunc
		want   callerResponse
	}{
		"lookup, whole": {
			path:   "/lookup/x",
			worker: unframed(text, "answer", false),
			want: callerResponse{
				Status: http.StatusOK,
				Body:   "answer",
			},
		},
		"lookup, reset": {
			path:   "/lookup/x",
			worker: unframed(text, "ans", true),
			want: callerResponse{
				Status: http.StatusBadGateway,
				Body:   "upstreams-failed\n",
			},
		},
		"stream, whole": {
			path:   "/once/x",
			worker: unframed(events, wantEvents(1, 4), false),
			want:   whole,
		},
		"stream, ends within a line": {
			path:   "/once/x",
			worker: unframed(events, wantEvents(1, 4)+"id: 5\nda", false),
			want:   cut,
		},
		"stream, ends within an event": {
			path:   "/once/x",
			worker: unframed(events, wantEvents(1, 4)+"id: 5\ndata: event 5\n", false),
			want:   cut,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := newTestGateway(t, test.worker, test.worker).send(t, http.MethodPost, test.path)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("response differs (-want +got):\n%s", diff)
			}
		})
	}
}
