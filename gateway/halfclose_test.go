package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a caller that ends its own side of the connection and gets an empty success,
// or a stream that is cut and looks complete.
func TestCallerThatEndsItsSideGetsNoSuccessOfTheGateway(t *testing.T) {
	tests := map[string]struct {
		path   string
		worker http.HandlerFunc
	}{
		"before the response": {
			path:   "/booking/x",
			worker: hanging,
		},
		"within a stream": {
			path: "/stream/x",
			worker: func(w http.ResponseWriter, r *http.Request) {
				writeEvents(w, r, 1, 2)
				hanging(w, r)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tg := newTestGateway(t, test.worker)
			conn := tg.rawRequest(t, "POST "+test.path+" HTTP/1.1", "r1", time.Second)
			time.Sleep(50 * time.Millisecond) // the worker has the request
			_ = conn.CloseWrite()
			got, _ := io.ReadAll(conn) // the gateway may reset the connection
			_, body, answered := strings.Cut(string(got), "\r\n\r\n")
			if answered && (body == "" || strings.HasSuffix(body, "\r\n0\r\n\r\n")) {
				t.Errorf("got %q, want no complete response", got)
			}
		})
	}
}
