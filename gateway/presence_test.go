package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/gateway"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// Guards against requests that are sent to workers after an entry stood still, although their
// callers have left in that time.
func TestRequestsOfCallersThatLeftBeforeTheyWereReadAreNotSent(t *testing.T) {
	const callers = 50
	calls := callCounter{}
	tg := newTestGateway(t, inOrder(&calls, good))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal("listen:", err)
	}
	for range callers {
		leaveAfterRequest(t, listener.Addr().String())
	}
	server := &http.Server{
		Handler:     tg.gateway,
		ConnContext: gateway.ConnContext,
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	tg.server.URL = "http://" + listener.Addr().String()
	want := callerResponse{
		Status: http.StatusOK,
		Body:   "answer",
	}
	if diff := cmp.Diff(want, tg.send(t, http.MethodPost, "/booking/x")); diff != "" {
		t.Errorf("response to the caller that stays differs (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, calls.count()); diff != "" {
		t.Errorf("calls of the worker differ (-want +got):\n%s", diff)
	}
}

// leaveAfterRequest sends a request to an address and closes the connection.
func leaveAfterRequest(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal("dial:", err)
	}
	w := bufio.NewWriter(conn)
	_, _ = fmt.Fprintf(w, "POST /lookup/x HTTP/1.1\r\nHost: %s\r\n", standin.ConfigHost)
	_ = standin.CallerHeader("left", standin.ConfigKey, time.Second).Write(w)
	_, _ = w.WriteString("Content-Length: 0\r\n\r\n")
	_ = w.Flush()
	_ = conn.Close()
}
