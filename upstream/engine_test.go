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
func TestHTTPEngineAnswersTwice(t *testing.T) {
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
			go answerTwice(conn)
		}
	}()
	engine := NewHTTPEngine("http://" + listener.Addr().String())
	whole := 0
	for range 50 {
		call := foxtailstack.EngineCall{
			Attempt: foxtailstack.NewAttemptID(),
			Path:    "/",
		}
		answer, err := engine.Run(t.Context(), call)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			continue
		}
		whole++
		if diff := cmp.Diff(call.Attempt.String(), string(body)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	}
	if whole == 0 {
		t.Error("no call received a complete response")
	}
}

// answerTwice responds to each request on a connection twice, with the id of the request
// as header and body.
func answerTwice(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(headerAttempt)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerAttempt, id, len(id), id)
		_, err = io.WriteString(conn, answer+answer)
		if err != nil {
			return
		}
	}
}
