package machine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
)

const (
	// stopCallers is the number of callers, each of which keeps one connection open.
	stopCallers = 40
	// stopPause is the time between two requests of a caller.
	stopPause = 3 * time.Millisecond
	// closeCrossing is the time within which a request that no upstream has got may cross
	// the end of its connection: the users' bound for what a stop may lose.
	closeCrossing = 200 * time.Millisecond
)

// Guards against requests that are cut off without an answer because the entry is stopped
// just as it has accepted them: callers go on over open and new connections until it is
// gone.
func TestPlannedStopAnswersWhatWasSent(t *testing.T) {
	t.Parallel()
	s := newCrashSystem(t, "drafts", standin.CrashMode{})
	address := s.entries[0].callerListener.Addr().String()
	var lost, answered atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range stopCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return // the entry is gone
				}
				n = useConnection(conn, s.log, i, n, &answered, &lost)
				_ = conn.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	s.stops[0]()
	cancel()
	wg.Wait()
	t.Logf("%d requests answered", answered.Load())
	if lost.Load() > 0 {
		t.Errorf("%d requests were cut off without a whole answer", lost.Load())
	}
}

// useConnection sends requests over a connection until it is closed, and returns the number
// of the next one. A request that is cut off counts as lost if it had reached an upstream, a
// part of its answer had arrived, or it was sent closeCrossing before the connection ended.
func useConnection(conn net.Conn, log *standin.CrashLog, caller, n int, answered, lost *atomic.Int64) int {
	r := bufio.NewReader(conn)
	for ; ; n++ {
		id := fmt.Sprintf("stop-%d-%d", caller, n)
		_, err := fmt.Fprintf(conn, "POST /lookup/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx",
			standin.ConfigHost, id, standin.HeaderKey, standin.ConfigKey)
		if err != nil {
			return n + 1
		}
		sent := time.Now()
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			if log.Reached(id) || time.Since(sent) > closeCrossing {
				lost.Add(1)
			}
			return n + 1
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil {
			lost.Add(1)
			return n + 1
		}
		answered.Add(1)
		if response.Close {
			return n + 1
		}
		time.Sleep(stopPause)
	}
}

// Guards against requests that come late in a planned stop, which are passed on and cut at its
// end without an answer, those that may run once at most among them.
func TestPlannedStopAnswersLateRequests(t *testing.T) {
	const (
		callers  = 50
		headsAt  = 250 * time.Millisecond // while the entry accepts connections
		interval = 9 * time.Millisecond   // the last body comes once the entry is gone
		work     = 150 * time.Millisecond
	)
	t.Parallel()
	s := newWorkingSystem(t, "drafts", standin.CrashMode{}, work)
	address := s.entries[0].callerListener.Addr().String()
	s.send(0, "before", "/booking/x", "question") // teaches the entry how long a request takes
	stopped := make(chan struct{})
	go func() {
		s.stops[0]()
		close(stopped)
	}()
	time.Sleep(headsAt)
	var conns []net.Conn
	for n := range callers {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal("dial the entry:", err)
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "POST /booking/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: late-%d\r\n%s: %s\r\nContent-Length: 1\r\n\r\n",
			standin.ConfigHost, n, standin.HeaderKey, standin.ConfigKey)
		conns = append(conns, conn)
	}
	var wg sync.WaitGroup
	var whole, refused atomic.Int64
	for n, conn := range conns {
		time.Sleep(interval)
		wg.Go(func() {
			_, _ = io.WriteString(conn, "x")
			switch status, err := readAnswer(conn); {
			case err != nil && s.log.Reached(fmt.Sprintf("late-%d", n)):
				t.Errorf("request %d was passed on and got no whole answer: %v", n, err)
			case err != nil: // it crossed the end
			case status == http.StatusOK:
				whole.Add(1)
			case status == http.StatusServiceUnavailable:
				refused.Add(1)
			default:
				t.Errorf("request %d got status %d", n, status)
			}
		})
	}
	wg.Wait()
	<-stopped
	t.Logf("%d served, %d refused", whole.Load(), refused.Load())
	if whole.Load() == 0 {
		t.Error("no request was served")
	}
}

// readAnswer reads one answer and returns its status.
func readAnswer(conn net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
