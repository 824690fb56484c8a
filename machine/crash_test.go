package machine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// The users allow three retries of a request that crashes its upstreams, beyond those
// sent up to contactTime after its third crash.
const (
	allowedCrashes = 3
	allowedRetries = 3
	contactTime    = 3 * time.Second
)

const (
	// crashEntries and crashWorkers are the numbers of entries and workers of a test.
	crashEntries = 3
	crashWorkers = 8
	// crashInterval is the time between two requests that crash their upstream.
	crashInterval = 40 * time.Millisecond
	// otherInterval is the time between two other requests.
	otherInterval = 2 * time.Millisecond
	// crashDowntime is how long a worker is down after a crash.
	crashDowntime = 400 * time.Millisecond
	// crashWork is how long a worker takes for another request.
	crashWork = 20 * time.Millisecond
	// observeTime is how long a test goes on once retries are limited.
	observeTime = time.Second
	// servedBesideCrashes is the fraction of other requests that must be served.
	servedBesideCrashes = 0.95
	// maxTestTime bounds the time in which the third crash is awaited.
	maxTestTime = 6 * time.Second
)

// crashSystem is a set of entries before workers that crash.
type crashSystem struct {
	store   *standin.Server
	url     string
	log     *standin.CrashLog
	entries []*Entry
	stops   []context.CancelFunc
	// peerPort is the port of the sidecars.
	peerPort int
}

// newStore starts the store. There are no workers and no entries yet.
func newStore(t *testing.T) *crashSystem {
	t.Helper()
	s := &crashSystem{
		store: &standin.Server{},
		log:   &standin.CrashLog{},
	}
	served := httptest.NewServer(s.store.Handler())
	t.Cleanup(served.Close)
	s.url = served.URL
	row := standin.ConfigRow(1)
	s.store.Rows.Put(standin.Row{
		Table: "op",
		Key:   row.Name,
		Value: row.Value,
	})
	return s
}

// newCrashSystem starts the workers of a service and the entries.
func newCrashSystem(t *testing.T, service string, mode standin.CrashMode) *crashSystem {
	t.Helper()
	return newWorkingSystem(t, service, mode, crashWork)
}

// newWorkingSystem is like newCrashSystem, with workers that take a time for a request.
func newWorkingSystem(t *testing.T, service string, mode standin.CrashMode, work time.Duration) *crashSystem {
	t.Helper()
	s := newStore(t)
	for i := range crashWorkers {
		worker := &standin.CrashWorker{
			Name:     fmt.Sprintf("w%d", i),
			Service:  service,
			Mode:     mode,
			Downtime: crashDowntime,
			Work:     work,
			Store:    &s.store.Rows,
			Log:      s.log,
		}
		err := worker.Start(t.Context())
		if err != nil {
			t.Fatal("start worker:", err)
		}
	}
	s.startEntries(t)
	return s
}

// startEntries starts all entries.
func (s *crashSystem) startEntries(t *testing.T) {
	t.Helper()
	s.entries = make([]*Entry, crashEntries)
	s.stops = make([]context.CancelFunc, crashEntries)
	for i := range s.entries {
		s.startEntry(t, i)
	}
}

// startEntry starts an entry and waits until it is ready.
func (s *crashSystem) startEntry(t *testing.T, i int) {
	t.Helper()
	entry, err := NewEntry(platform.Settings{
		Name:             foxtailstack.InstanceName(fmt.Sprintf("entry-%d", i)),
		CallerAddress:    "127.0.0.1:0",
		ReadinessAddress: "127.0.0.1:0",
		StoreURL:         s.url,
		PeerPort:         s.peerPort,
		Bounds: platform.Bounds{
			GracePeriod: time.Second,
			RetryRatio:  0.2,
			RetryWindow: 10 * time.Second,
			RetrySlack:  94,
		},
	}, zap.NewNop())
	if err != nil {
		t.Fatal("new entry:", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = entry.Run(ctx) // requests may be cut off at the end
		close(done)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(stop)
	s.entries[i] = entry
	s.stops[i] = stop
	deadline := time.Now().Add(5 * time.Second)
	for !entry.gateway.Ready() {
		if time.Now().After(deadline) {
			t.Fatal("entry is not ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// send sends a request to an entry and returns the status, or zero if there is no
// answer.
func (s *crashSystem) send(i int, id, path, body string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.entries[i].callerListener.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = standin.ConfigHost
	request.Header = standin.CallerHeader(id, standin.ConfigKey, time.Second)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// sendCrashes sends the request that crashes its upstreams to the entries in turn until
// its retries have been limited for observeTime, or maxTestTime has passed.
func (s *crashSystem) sendCrashes(path string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	for n := 0; ; n++ {
		crashes := s.log.Crashes()
		switch {
		case len(crashes) < allowedCrashes && time.Since(began) > maxTestTime:
			return
		case len(crashes) >= allowedCrashes && time.Since(crashes[allowedCrashes-1]) > contactTime+observeTime:
			return
		}
		wg.Go(func() { s.send(n%len(s.entries), fmt.Sprintf("crash-%d", n), path, standin.CrashBody) })
		time.Sleep(crashInterval)
	}
}

// retriesBeyond returns the number of crashing requests that reached workers after
// contactTime had passed since the third crash.
func (s *crashSystem) retriesBeyond() int {
	crashes := s.log.Crashes()
	if len(crashes) < allowedCrashes {
		return 0
	}
	return s.log.ArrivalsAfter(crashes[allowedCrashes-1].Add(contactTime))
}

// Guards against a request that crashes each upstream that runs it and is sent on, by
// any entry, each time its caller sends it again.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	tests := map[string]struct {
		path    string
		service string
		mode    standin.CrashMode
	}{
		"lookup":        {path: "/lookup/x"},
		"booking":       {path: "/booking/x"},
		"stream":        {path: "/stream/x"},
		"without a key": {path: "/public/x"},
		"stream to ranks": {
			path:    "/model/x",
			service: "models",
		},
		"upstreams keep their names": {
			path: "/lookup/x",
			mode: standin.CrashMode{KeepsName: true},
		},
		"upstreams fall silent": {
			path: "/lookup/x",
			mode: standin.CrashMode{Dark: true},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.service == "" {
				test.service = "drafts"
			}
			s := newCrashSystem(t, test.service, test.mode)
			s.sendCrashes(test.path)
			t.Logf("%d crashes", len(s.log.Crashes()))
			if got := s.retriesBeyond(); got > allowedRetries {
				t.Errorf("%d retries %s after the third crash, want at most %d", got, contactTime, allowedRetries)
			}
		})
	}
}

// Guards against a request that crashes nearly each upstream that runs it and is sent on all
// the same, because some upstreams answer it with an error, which counts as served.
func TestErrorDoesNotFreeCrashingRequest(t *testing.T) {
	t.Parallel()
	checkAnsweredCrashes(t, http.StatusInternalServerError)
}

// Guards against a request that crashes most upstreams that run it and is sent on all the
// same, because now and then one serves it, after which no crash counts for a time.
func TestAnswerDoesNotFreeCrashingRequest(t *testing.T) {
	t.Parallel()
	checkAnsweredCrashes(t, http.StatusOK)
}

// checkAnsweredCrashes sends a request that crashes its upstreams, but for one in five, which
// is answered with a status, and checks that it is not sent on.
func checkAnsweredCrashes(t *testing.T, status int) {
	t.Helper()
	s := newCrashSystem(t, "drafts", standin.CrashMode{
		AnswerEvery:  5,
		AnswerStatus: status,
	})
	s.sendCrashes("/lookup/x")
	t.Logf("%d crashes", len(s.log.Crashes()))
	if got := s.retriesBeyond(); got > allowedRetries {
		t.Errorf("%d retries %s after the third crash, want at most %d", got, contactTime, allowedRetries)
	}
}

// Guards against a quarantine that ends when an entry starts anew.
func TestQuarantineOutlivesEntries(t *testing.T) {
	t.Parallel()
	s := newCrashSystem(t, "drafts", standin.CrashMode{})
	s.sendCrashes("/lookup/x")
	before := len(s.log.Crashes())
	for i, stop := range s.stops {
		stop()
		s.startEntry(t, i)
	}
	began := time.Now()
	for n := range 10 * len(s.entries) {
		s.send(n%len(s.entries), fmt.Sprintf("again-%d", n), "/lookup/x", standin.CrashBody)
	}
	if got := s.log.ArrivalsAfter(began); got > allowedRetries {
		t.Errorf("%d retries after all entries started anew, want at most %d (%d crashes before)", got, allowedRetries, before)
	}
}

// Guards against requests that are refused because they ran beside one that crashed
// their upstreams. They are all equal, as those of a team for a popular thing are, so that
// each upstream runs one when it crashes.
func TestOthersAreServedBesideCrashes(t *testing.T) {
	t.Parallel()
	s := newCrashSystem(t, "drafts", standin.CrashMode{})
	var served, sent atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			wg.Go(func() {
				if s.send(n%len(s.entries), fmt.Sprintf("other-%d", n), "/lookup/y", "question") == http.StatusOK {
					served.Add(1)
				}
				sent.Add(1)
			})
			time.Sleep(otherInterval)
		}
	})
	s.sendCrashes("/lookup/x")
	time.Sleep(2 * crashDowntime)
	cancel()
	wg.Wait()
	for i := range s.entries {
		if diff := cmp.Diff(http.StatusOK, s.send(i, "after", "/lookup/y", "question")); diff != "" {
			t.Errorf("status of another request at entry %d (-want +got):\n%s", i, diff)
		}
	}
	t.Logf("%d of %d others were served, %d crashes", served.Load(), sent.Load(), len(s.log.Crashes()))
	if float64(served.Load()) < servedBesideCrashes*float64(sent.Load()) {
		t.Errorf("%d of %d others were served, want at least the fraction %v", served.Load(), sent.Load(), servedBesideCrashes)
	}
}
