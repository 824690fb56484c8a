package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// headThen returns a worker that sends the first bytes of a head and closes the connection.
// The head has the proof of origin.
func headThen(head string, bytes int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: x\r\n%s\r\n", standin.RequestOf(r), standin.HeaderProof, head)
		_, _ = io.WriteString(buffer, whole[:min(bytes, len(whole)-1)])
		_ = buffer.Flush() // the entry may have left
	}
}

// Guards against a head that is cut off and reaches the caller as a success with an empty or
// short body.
func TestCutHeadIsNoSuccess(t *testing.T) {
	const headBytes = 120 // more than the longest head
	want := callerResponse{
		Status: http.StatusBadGateway,
		Body:   "upstreams-failed\n",
	}
	for name, test := range map[string]struct {
		path, head string
	}{
		"with a length": {
			path: "/lookup/x",
			head: "Content-Length: 4\r\n",
		},
		"without a length": {
			path: "/lookup/x",
		},
		"stream": {
			path: "/once/x",
			head: "Content-Type: text/event-stream\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			for bytes := range headBytes {
				cut := headThen(test.head, bytes)
				got := newTestGateway(t, cut, cut).send(t, http.MethodPost, test.path)
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatalf("response to a head of %d bytes (-want +got):\n%s", bytes, diff)
				}
			}
		})
	}
}
