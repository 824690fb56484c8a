package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// Times of the tests of planned stops. stopTime is the usual time until the last answers.
const (
	stopTime   = 7700 * time.Millisecond
	streamTime = 450 * time.Millisecond // less than the timeout of the route
	stopSlack  = 100 * time.Millisecond // within which an estimate may be wrong
	leftTime   = 500 * time.Millisecond // less than the timeouts of the routes
)

// Guards against requests that are taken late in a planned stop, passed on and cut at its end
// without an answer, and against refusals of requests that would have been whole.
func TestPlannedStopTakesWhatFits(t *testing.T) {
	const events = 18
	synctest.Test(t, func(t *testing.T) {
		stream := func(w http.ResponseWriter, r *http.Request) {
			for n := 1; n <= events; n++ {
				time.Sleep(streamTime / events)
				writeEvents(w, r, n, n)
			}
		}
		c := &callCounter{}
		worker := inOrder(c, stream)
		tg := newTestGatewayOn(t, &pipeNetwork{}, "drafts", worker, worker)
		tg.timeout = 8 * time.Second
		tg.send(t, http.MethodPost, "/once/x")
		began := time.Now()
		tg.gateway.Drain(began.Add(stopTime))
		var wg sync.WaitGroup
		served := make(chan bool, 100)
		for time.Since(began) < stopTime-100*time.Millisecond {
			left := stopTime - time.Since(began)
			wg.Go(func() {
				got := tg.send(t, http.MethodPost, "/once/x")
				want := callerResponse{
					Status: http.StatusOK,
					Body:   wantEvents(1, events),
				}
				if left < streamTime+stopSlack && got.Status != http.StatusOK {
					want = callerResponse{
						Status:     http.StatusServiceUnavailable,
						Body:       "entry-stops\n",
						RetryAfter: true,
					}
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("response %s before the end (-want +got):\n%s", left, diff)
				}
				served <- got.Status == http.StatusOK
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		close(served)
		n := 1
		for ok := range served {
			if ok {
				n++
			}
		}
		if diff := cmp.Diff(n, c.count()); diff != "" {
			t.Errorf("requests at the upstreams, want those that were served (-want +got):\n%s", diff)
		}
	})
}

// Guards against requests that get no answer at the end of a planned stop: one that runs, one
// that waits for an upstream and one whose body is still coming.
func TestPlannedStopAnswersWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipeNetwork{}
		tg := newTestGatewayOn(t, network, "drafts", hanging, hanging)
		tg.timeout = 4 * time.Second
		began := time.Now()
		tg.gateway.Drain(began.Add(leftTime))
		var wg sync.WaitGroup
		check := func(path string, want callerResponse) {
			wg.Go(func() {
				if diff := cmp.Diff(want, tg.send(t, http.MethodPost, path)); diff != "" {
					t.Errorf("response to %s (-want +got):\n%s", path, diff)
				}
				if took := time.Since(began); took > leftTime {
					t.Errorf("the answer came after %s", took)
				}
			})
		}
		check("/booking/x", callerResponse{
			Status: http.StatusBadGateway,
			Body:   "entry-stops\n",
		})
		conn := slowCaller(t, network, "/booking/x", 4*time.Second, "Content-Length: 10\r\nConnection: close")
		wg.Go(func() {
			got, _ := io.ReadAll(conn)
			if !strings.HasPrefix(string(got), "HTTP/1.1 503 ") || !strings.Contains(string(got), "Retry-After: ") {
				t.Errorf("response to a body that does not come:\n%s", got)
			}
		})
		wg.Wait()
		tg = newTestGatewayOn(t, network, "drafts", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Retry-After", "5")
			standin.Refuse(w, r)
		})
		tg.timeout = 4 * time.Second
		began = time.Now()
		tg.gateway.Drain(began.Add(leftTime))
		got := tg.send(t, http.MethodPost, "/booking/x")
		if got.Status != http.StatusServiceUnavailable || !got.RetryAfter || time.Since(began) > leftTime {
			t.Errorf("got %+v after %s, want 503 before the end", got, time.Since(began))
		}
	})
}
