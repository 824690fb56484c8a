package exchange_test

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/exchange"
)

// watchPause is the time between two questions of a watch.
const watchPause = 10 * time.Millisecond

// watched returns a connection to an upstream on which reads ask check.
func watched(
	t *testing.T,
	pool *exchange.Pool,
	address foxtailstack.Address,
	check func() error,
) *exchange.Conn {
	t.Helper()
	conn, err := pool.Get(t.Context(), "u", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetReadCheck(watchPause, check)
	return conn
}

// out is a request.
var out = exchange.OutgoingRequest{
	Method: http.MethodPost,
	Target: "/x",
	Host:   "h",
	Header: http.Header{"Id": {"1"}},
	ID:     "1",
}

// A wait for an upstream goes on until the watch ends it, and says why.
func TestWatchEndsWait(t *testing.T) {
	why := errors.New("enough")
	asked := 0
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts and answers nothing
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	address := foxtailstack.Address(listener.Addr().String())
	conn := watched(t, &exchange.Pool{}, address, func() error {
		asked++
		if asked < 3 {
			return nil
		}
		return why
	})
	defer conn.Close()
	_, err = conn.Send(out, codec{})
	if !errors.Is(err, exchange.ErrAborted) || !errors.Is(err, why) || !errors.Is(err, exchange.ErrBroken) {
		t.Errorf("got error %v, want ErrBroken, ErrLeft and the reason", err)
	}
	if asked != 3 {
		t.Errorf("the watch was asked %d times, want 3", asked)
	}
}

// A connection that comes back to the pool is not watched any more, and can be used
// again after the watch's pause.
func TestWatchEndsInPool(t *testing.T) {
	address := serve(t, text("1", "a"), text("1", "b"))
	pool := &exchange.Pool{}
	conn := watched(t, pool, address, func() error { return nil })
	in, err := conn.Send(out, codec{})
	if err != nil {
		t.Fatal(err)
	}
	err = in.Discard()
	if err != nil {
		t.Fatal(err)
	}
	in.Finish(pool, "u", conn)
	time.Sleep(3 * watchPause)
	again, err := pool.Get(t.Context(), "u", address)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	_, err = again.Send(out, codec{})
	if err != nil {
		t.Errorf("second request on the connection: %v", err)
	}
	if pool.Dials() != 1 {
		t.Errorf("%d connections were made, want 1", pool.Dials())
	}
}
