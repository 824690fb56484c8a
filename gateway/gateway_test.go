package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/gateway"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/watch"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// site is a gateway before workers that are played here.
type site struct {
	gateway *gateway.Gateway
	server  *httptest.Server
	view    *watch.View
	age     time.Duration
	// deadline is that of callers.
	deadline time.Duration
}

// newSite returns a gateway with one route of each kind, before workers that
// serve as the handler of each says.
func newSite(t *testing.T, workers ...http.HandlerFunc) *site {
	t.Helper()
	return newSiteOf(t, "drafts", workers...)
}

// newSiteOf returns a gateway like newSite's before workers of one service.
func newSiteOf(t *testing.T, service string, workers ...http.HandlerFunc) *site {
	t.Helper()
	s := &site{deadline: time.Second}
	s.view = &watch.View{
		Decoder: watch.Decoder{
			ConfigRow: platform.RowConfig,
			Config:    platform.DecodeConfig,
			Upstream:  platform.DecodeUpstream,
		},
		Log: zap.NewNop(),
	}
	board := &dispatch.Scheduler{Fleet: s.view.Fleet}
	s.gateway = &gateway.Gateway{
		View:      s.view,
		Scheduler: board,
		RetryBudget: &dispatch.RetryBudget{
			Ratio:  1,
			Window: time.Second,
			Slack:  100,
		},
		Pool:          &exchange.Pool{},
		Codec:         platform.Codec{},
		KeyRevocation: 5 * time.Second,
		Now:           func() time.Duration { return s.age },
		Log:           zap.NewNop(),
	}
	s.server = httptest.NewServer(s.gateway)
	t.Cleanup(s.server.Close)
	var rows []foxtailstack.Record
	for i, worker := range workers {
		served := httptest.NewServer(worker)
		t.Cleanup(served.Close)
		rows = append(rows, standin.WorkerRow(fmt.Sprintf("w%d", i), service, served.Listener.Addr().String()))
	}
	s.view.ReplaceFleet(rows, 1)
	s.view.SetConfig([]foxtailstack.Record{standin.ConfigRow(1)}, 1)
	return s
}

// answer is what a caller got.
type answer struct {
	Status int
	Body   string
	// Return is when to come back, as told.
	Return bool
	// Cut tells that the answer ended early.
	Cut bool
}

// ask sends a request to a route.
func (s *site) ask(t *testing.T, method, path string, header ...string) answer {
	t.Helper()
	request, err := http.NewRequest(method, s.server.URL+path, strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = standin.ConfigHost
	for name, value := range standin.CallerHeader("r1", standin.ConfigKey, s.deadline) {
		request.Header[name] = value
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{Cut: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		Status: response.StatusCode,
		Body:   string(body),
		Return: response.Header.Get("Retry-After") != "",
		Cut:    err != nil,
	}
}

// calls counts the calls of workers.
type calls struct {
	mu sync.Mutex
	n  int
}

func (c *calls) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

// count returns the number of calls so far.
func (c *calls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// each returns a worker that serves its first call as the first handler does, and
// so on. The last one serves all further calls.
func each(c *calls, handlers ...http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		handlers[min(c.next(), len(handlers))-1](w, r)
	}
}

// Workers.
var (
	good = func(w http.ResponseWriter, r *http.Request) {
		standin.Prove(w, r)
		_, _ = io.WriteString(w, "answer")
	}
	full = func(w http.ResponseWriter, r *http.Request) {
		standin.Refuse(w, r)
	}
	failing = func(w http.ResponseWriter, r *http.Request) {
		standin.Prove(w, r)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}
	unproven = func(w http.ResponseWriter, r *http.Request) {
		standin.Echo(w, r)
		_, _ = io.WriteString(w, "answer")
	}
	crash = func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
	truncated = func(w http.ResponseWriter, r *http.Request) {
		standin.Prove(w, r)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "ans")
		panic(http.ErrAbortHandler)
	}
	slow = func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	}
)

func TestAnswers(t *testing.T) {
	const (
		lookup  = "/lookup/x"
		booking = "/booking/x"
	)
	tests := map[string]struct {
		path    string
		workers []http.HandlerFunc
		want    answer
		// most is the number of calls that workers may get.
		most int
	}{
		"lookup served": {
			path:    lookup,
			workers: []http.HandlerFunc{good},
			want: answer{
				Status: 200,
				Body:   "answer",
			},
			most: 1,
		},
		"lookup goes to another worker after a failure": {
			path:    lookup,
			workers: []http.HandlerFunc{failing, good},
			want: answer{
				Status: 200,
				Body:   "answer",
			},
			most: 2,
		},
		"lookup goes to another worker after a crash": {
			path:    lookup,
			workers: []http.HandlerFunc{crash, good},
			want: answer{
				Status: 200,
				Body:   "answer",
			},
			most: 2,
		},
		"lookup goes to another worker after a cut answer": {
			path:    lookup,
			workers: []http.HandlerFunc{truncated, good},
			want: answer{
				Status: 200,
				Body:   "answer",
			},
			most: 2,
		},
		"lookup goes to another worker after an answer without proof": {
			path:    lookup,
			workers: []http.HandlerFunc{unproven, good},
			want: answer{
				Status: 200,
				Body:   "answer",
			},
			most: 2,
		},
		"lookup that fails twice brings the worker's answer": {
			path:    lookup,
			workers: []http.HandlerFunc{failing, failing, good},
			want: answer{
				Status: 500,
				Body:   "broken",
			},
			most: 2,
		},
		"booking served": {
			path:    booking,
			workers: []http.HandlerFunc{good},
			want: answer{
				Status: 200,
				Body:   "answer",
			},
			most: 1,
		},
		"booking that fails runs once": {
			path:    booking,
			workers: []http.HandlerFunc{failing, good},
			want: answer{
				Status: 500,
				Body:   "broken",
			},
			most: 1,
		},
		"booking that crashes runs once and is not said not to have run": {
			path:    booking,
			workers: []http.HandlerFunc{crash, good},
			want: answer{
				Status: 502,
				Body:   "upstreams-failed\n",
			},
			most: 1,
		},
		"booking that was cut runs once": {
			path:    booking,
			workers: []http.HandlerFunc{truncated, good},
			want: answer{
				Status: 502,
				Body:   "upstreams-failed\n",
			},
			most: 1,
		},
		"booking that was refused tells so": {
			path:    booking,
			workers: []http.HandlerFunc{full, full, full},
			want: answer{
				Status: 503,
				Body:   "upstreams-refused\n",
				Return: true,
			},
			most: 3,
		},
		"booking past its route's time may have run": {
			path:    booking,
			workers: []http.HandlerFunc{slow},
			want: answer{
				Status: 504,
				Body:   "timeout\n",
			},
			most: 1,
		},
		"no worker": {
			path: lookup,
			want: answer{
				Status: 503,
				Body:   "no-upstream\n",
				Return: true,
			},
		},
		"no route": {
			path:    "/nothing/",
			workers: []http.HandlerFunc{good},
			want: answer{
				Status: 404,
				Body:   "no-route\n",
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &calls{}
			var workers []http.HandlerFunc
			for range test.workers {
				workers = append(workers, each(c, test.workers...))
			}
			s := newSite(t, workers...)
			began := time.Now()
			got := s.ask(t, http.MethodPost, test.path)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("answer differs (-want +got):\n%s", diff)
			}
			if n := c.count(); n > test.most {
				t.Errorf("workers got %d calls, want at most %d", n, test.most)
			}
			if took := time.Since(began); took > 900*time.Millisecond {
				t.Errorf("the answer took %v", took)
			}
		})
	}
}

// A caller that leaves ends the work at the worker.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	s := newSite(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	w := bufio.NewWriter(conn)
	_, _ = fmt.Fprintf(w, "POST /lookup/x HTTP/1.1\r\nHost: %s\r\n", standin.ConfigHost)
	_ = standin.CallerHeader("r1", standin.ConfigKey, time.Second).Write(w)
	_, _ = w.WriteString("Content-Length: 0\r\n\r\n")
	_ = w.Flush()
	time.Sleep(100 * time.Millisecond)
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Error("the worker goes on after the caller has left")
	}
}

// The worker gets what the caller sent, the time that is left, and its own name.
func TestForwardedRequest(t *testing.T) {
	type seen struct {
		Method, Target, Host, Body, Custom, Hop, Expect string
		Left                                            bool
	}
	var got seen
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		left, expect := standin.AttemptOf(r)
		got = seen{
			Method: r.Method,
			Target: r.RequestURI,
			Host:   r.Host,
			Body:   string(body),
			Custom: r.Header.Get("X-Custom"),
			Hop:    r.Header.Get("X-Hop"),
			Expect: expect,
			Left:   left > 0 && left <= 800*time.Millisecond,
		}
		good(w, r)
	})
	s.ask(t, http.MethodPut, "/lookup/a%2Fb//c?x=1&x=2", "X-Custom", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
	want := seen{
		Method: http.MethodPut,
		Target: "/lookup/a%2Fb//c?x=1&x=2",
		Host:   standin.ConfigHost,
		Body:   "question",
		Custom: "kept",
		Expect: "w0",
		Left:   true,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("request differs (-want +got):\n%s", diff)
	}
}

// A body over the limit of the configuration is refused.
func TestBodyLimit(t *testing.T) {
	s := newSite(t, good)
	request, err := http.NewRequest(http.MethodPost, s.server.URL+"/lookup/x",
		strings.NewReader(strings.Repeat("x", standin.ConfigMaxBody+1)))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = standin.ConfigHost
	request.Header = standin.CallerHeader("r1", standin.ConfigKey, time.Second)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got status %d", response.StatusCode)
	}
}

// The stand-in's configuration is one of the platform's.
func TestStandinConfiguration(t *testing.T) {
	cfg, err := platform.DecodeConfig(standin.ConfigRow(4).Value)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Version != 4 || !cfg.KeyRequired || !json.Valid(standin.ConfigRow(4).Value) {
		t.Errorf("got version %d, keyed %v", cfg.Version, cfg.KeyRequired)
	}
}
