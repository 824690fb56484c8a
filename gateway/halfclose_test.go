package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
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
			conn, err := net.Dial("tcp", tg.server.Listener.Addr().String())
			if err != nil {
				t.Fatal("dial the gateway:", err)
			}
			defer conn.Close()
			w := bufio.NewWriter(conn)
			_, _ = fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\n", test.path, standin.ConfigHost)
			_ = standin.CallerHeader("r1", standin.ConfigKey, time.Second).Write(w)
			_, _ = w.WriteString("Content-Length: 0\r\n\r\n")
			_ = w.Flush()
			time.Sleep(50 * time.Millisecond) // the worker has the request
			_ = conn.(*net.TCPConn).CloseWrite()
			got, _ := io.ReadAll(conn) // the gateway may reset the connection
			_, body, answered := strings.Cut(string(got), "\r\n\r\n")
			if answered && (body == "" || strings.HasSuffix(body, "\r\n0\r\n\r\n")) {
				t.Errorf("got %q, want no complete response", got)
			}
		})
	}
}
