package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
)

const (
	// crashDowntime is how long a plain upstream is down after a crash.
	crashDowntime = 300 * time.Millisecond
	// crashInterval is the time between two requests that crash upstreams.
	crashInterval = 50 * time.Millisecond
	// contactTime is the time from the end of trouble, and from the third crash, after
	// which at most allowedRetries of a request that crashes upstreams reach them.
	contactTime    = 3 * time.Second
	allowedCrashes = 3
	allowedRetries = 3
)

// crasher is a plain upstream that crashes when it gets a request with
// standin.CrashBody, and is back under another name after crashDowntime.
type crasher struct {
	log      *standin.CrashLog
	register func(name string)
	name     string
	served   *httptest.Server
	work     http.HandlerFunc

	mu     sync.Mutex
	down   bool
	starts int
}

// ServeHTTP serves a request, or crashes.
func (c *crasher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // the entry may have left
	if string(body) == standin.CrashBody {
		c.log.Record(c.crash())
	}
	if c.isDown() {
		panic(http.ErrAbortHandler) // closes the connection
	}
	c.work(w, r)
}

// isDown reports whether the upstream is down.
func (c *crasher) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// crash ends the upstream for crashDowntime. It returns false if it is down already.
func (c *crasher) crash() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return false
	}
	c.down = true
	c.starts++
	name := fmt.Sprintf("%s-%d", c.name, c.starts)
	go c.served.CloseClientConnections()
	time.AfterFunc(crashDowntime, func() {
		c.mu.Lock()
		c.down = false
		c.mu.Unlock()
		c.register(name)
	})
	return true
}

// sendCrashes sends a request that crashes upstreams to all entries in turn until ctx
// ends.
func (s *system) sendCrashes(ctx context.Context, path, key string) {
	client := &http.Client{Timeout: time.Second}
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		url := "http://" + s.address(entryMachine, n%*entries, callersPort) + path
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(standin.CrashBody))
		if err != nil {
			s.t.Error(err)
			return
		}
		request.Host = standin.ConfigHost
		request.Header = standin.CallerHeader(fmt.Sprintf("crash%s-%d", path, n), key, time.Second)
		wg.Go(func() {
			response, err := client.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
		})
		time.Sleep(crashInterval)
	}
}

// checkCrashes checks that a request that crashes upstreams was not sent on.
func checkCrashes(t testing.TB, log *standin.CrashLog, troubleEnded time.Time) {
	t.Helper()
	crashes := log.Crashes()
	t.Logf("a request crashed upstreams %d times", len(crashes))
	if len(crashes) < allowedCrashes {
		return
	}
	from := troubleEnded
	if third := crashes[allowedCrashes-1]; third.After(from) {
		from = third
	}
	if n := log.ArrivalsAfter(from.Add(contactTime)); n > allowedRetries {
		t.Errorf("a request that had crashed %d upstreams was sent to upstreams %d times more, want at most %d",
			allowedCrashes, n, allowedRetries)
	}
}
