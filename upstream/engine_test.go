package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

// An engine that sends each response twice on a reused connection must never cause a
// call to receive the response to another call.
func TestHTTPEngineRespondsTwice(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondTwice(conn)
		}
	}()
	engine := NewHTTPEngine("http://" + listener.Addr().String())
	whole := 0
	for range 50 {
		call := foxtailstack.EngineCall{
			Attempt: foxtailstack.NewAttemptID(),
			Path:    "/",
		}
		response, err := engine.Run(t.Context(), call)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		whole++
		if diff := cmp.Diff(call.Attempt.String(), string(body)); diff != "" {
			t.Errorf("response (-want +got):\n%s", diff)
		}
	}
	if whole == 0 {
		t.Error("no call received a complete response")
	}
}

// respondTwice responds to each request on a connection twice, with the id of the request
// as header and body.
func respondTwice(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(headerAttempt)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerAttempt, id, len(id), id)
		_, err = io.WriteString(conn, response+response)
		if err != nil {
			return
		}
	}
}
