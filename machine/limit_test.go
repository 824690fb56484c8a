package machine

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
)

// From contactTime after an upstream has named a limit, it may get in limitWindow
// limitFactor times what that allows and limitSlack requests more, of the entries that had
// its answer toldTime before.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldTime    = 500 * time.Millisecond
)

const (
	// limitWorkers is the number of workers of a test.
	limitWorkers = 4
	// limitInterval is the time between two requests to an entry.
	limitInterval = 10 * time.Millisecond
	// limitTime is how long a worker names its limit.
	limitTime = contactTime + 2*limitWindow
	// refusedAtOnce is the time in which a request is refused that no worker takes.
	refusedAtOnce = 100 * time.Millisecond
	// slowRefusals is the fraction of refusals that may take longer: those of requests that
	// waited while others with a better chance came.
	slowRefusals = 0.02
	// limitEndTime is the time from the end of a limit until it no longer has an effect.
	limitEndTime = 10 * time.Second
)

// allowedArrivals returns the number of requests that a worker with a limit may get in
// limitWindow.
func allowedArrivals(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
}

// limitSystem is a set of entries before workers that name limits.
type limitSystem struct {
	*crashSystem
	workers []*standin.LimitWorker

	sent, served, slow atomic.Int64
}

// newLimitSystem starts the workers and the entries.
func newLimitSystem(t *testing.T) *limitSystem {
	t.Helper()
	s := &limitSystem{crashSystem: newStore(t)}
	for i := range limitWorkers {
		worker := &standin.LimitWorker{
			Name:    fmt.Sprintf("w%d", i),
			Service: "drafts",
			Work:    crashWork,
			Store:   &s.store.Rows,
		}
		err := worker.Start(t.Context())
		if err != nil {
			t.Fatal("start worker:", err)
		}
		s.workers = append(s.workers, worker)
	}
	s.startEntries(t)
	return s
}

// sendFor sends requests to all entries for a time and waits until they have ended.
func (s *limitSystem) sendFor(d time.Duration) {
	s.sent.Store(0)
	s.served.Store(0)
	s.slow.Store(0)
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	for n := 0; time.Since(began) < d; n++ {
		for i := range s.entries {
			wg.Go(func() { s.sendOne(i, n) })
		}
		time.Sleep(limitInterval)
	}
}

// sendOne sends a request to an entry.
func (s *limitSystem) sendOne(i, n int) {
	began := time.Now()
	status := s.send(i, fmt.Sprintf("e%d-%d", i, n), "/lookup/x", fmt.Sprintf("question %d", n))
	s.sent.Add(1)
	switch {
	case status == http.StatusOK:
		s.served.Add(1)
	case time.Since(began) > refusedAtOnce:
		s.slow.Add(1)
	}
}

// checkLimit checks the arrivals at a worker that named a limit.
func (s *limitSystem) checkLimit(t *testing.T, worker *standin.LimitWorker, limit float64) {
	t.Helper()
	got := worker.MostArrivals(limitWindow, contactTime, toldTime)
	t.Logf("%s got up to %d requests in %s, %d in all", worker.Name, got, limitWindow, worker.Arrivals())
	if want := allowedArrivals(limit); got > want {
		t.Errorf("%s got %d requests in %s, want at most %d", worker.Name, got, limitWindow, want)
	}
}

// Guards against an upstream in need that gets as many requests as before though it names a
// limit in its answers, and against requests that fail for that while others have room.
func TestNamedLimitIsKept(t *testing.T) {
	t.Parallel()
	s := newLimitSystem(t)
	s.sendFor(time.Second)
	s.workers[0].SetLimit(1)
	s.sendFor(limitTime)
	s.checkLimit(t, s.workers[0], 1)
	if s.served.Load() < s.sent.Load() {
		t.Errorf("%d of %d requests were served beside three workers without a limit", s.served.Load(), s.sent.Load())
	}
}

// Guards against requests that wait until their time is over, while all upstreams name
// limits that leave no room for them, and against limits that go on once they have ended.
func TestRequestsBeyondLimitsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	s := newLimitSystem(t)
	s.sendFor(time.Second)
	for _, worker := range s.workers {
		worker.SetLimit(4)
	}
	s.sendFor(limitTime)
	for _, worker := range s.workers {
		s.checkLimit(t, worker, 4)
	}
	refused := s.sent.Load() - s.served.Load()
	t.Logf("%d sent, %d served, %d refused, %d of these later than %s", s.sent.Load(), s.served.Load(), refused, s.slow.Load(), refusedAtOnce)
	if got := s.slow.Load(); float64(got) > slowRefusals*float64(refused) {
		t.Errorf("%d of %d refusals came later than %s, want at most the fraction %v", got, refused, refusedAtOnce, slowRefusals)
	}
	for _, worker := range s.workers {
		worker.SetLimit(0)
	}
	s.sendFor(limitEndTime)
	s.sendFor(time.Second)
	if s.served.Load() < s.sent.Load() {
		t.Errorf("%d of %d requests were served %s after the limits ended", s.served.Load(), s.sent.Load(), limitEndTime)
	}
}
