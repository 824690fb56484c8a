package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// A connection on which nothing has been asked yet does not hold up a stop.
func TestServeHTTPStopsBesideUnusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- serveHTTP(ctx, listener, http.NotFoundHandler(), 2*time.Second, nil) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	response, err := http.Get("http://" + listener.Addr().String()) // accepted after conn
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	cancel()
	err = <-served
	if err != nil {
		t.Errorf("got error %v, expected none", err)
	}
}
