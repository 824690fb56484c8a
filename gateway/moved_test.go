package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

const (
	// patience is the time without an event after which a caller leaves, the abandon
	// timeout of the route.
	patience = 2 * time.Second
	// movedEvents is the number of events of a stream, and eventTime the time for each.
	movedEvents = 10
	eventTime   = 20 * time.Millisecond
	// firstStreams is the number of streams that fill three ranks.
	firstStreams = 12
	// overloadInterval is the time between two further streams. Two ranks serve one in
	// 25 ms.
	overloadInterval = 20 * time.Millisecond
	// silentReportInterval is the time between two statuses without the silent rank.
	silentReportInterval = 300 * time.Millisecond
)

// stream sends a request for a stream and reads it until it ends, or leaves after patience.
func (tg *testGateway) stream(t *testing.T, id string) callerResponse {
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	timer := time.AfterFunc(patience, leave)
	defer timer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, tg.server.URL+"/model/x", strings.NewReader(id))
	if err != nil {
		t.Error("new request:", err)
		return callerResponse{}
	}
	request.Host = standin.ConfigHost
	request.Header = standin.CallerHeader(id, standin.ConfigKey, tg.timeout)
	response, err := tg.caller.RoundTrip(request)
	if err != nil {
		return callerResponse{Truncated: true}
	}
	defer response.Body.Close()
	got := callerResponse{Status: response.StatusCode}
	buffer := make([]byte, 1<<10)
	for {
		n, err := response.Body.Read(buffer)
		got.Body += string(buffer[:n])
		timer.Reset(patience)
		if err != nil {
			got.Truncated = len(got.Body) != len(wantEvents(1, movedEvents))
			return got
		}
	}
}

// pacedEvents serves a stream at the pace of a rank.
func pacedEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEvent))
	for n := from + 1; n <= movedEvents; n++ {
		time.Sleep(eventTime)
		writeEvents(w, r, n, n)
	}
}

// silentAfterTwo serves two events and then nothing until the gateway leaves.
func silentAfterTwo(w http.ResponseWriter, r *http.Request) {
	writeEvents(w, r, 1, 2)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// Guards against callers that leave, and work that goes on for them where no close can
// arrive, because their streams left a silent rank and wait behind requests that have not begun.
func TestStreamsThatLeftSilentRankGoOnInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGatewayOn(t, &pipeNetwork{}, "models", silentAfterTwo, pacedEvents, pacedEvents)
		tg.timeout = 4 * time.Second
		tg.runPasses(t)
		var wg sync.WaitGroup
		got := make([]callerResponse, firstStreams)
		for i := range firstStreams {
			wg.Go(func() { got[i] = tg.stream(t, fmt.Sprintf("first-%d", i)) })
		}
		wg.Go(func() {
			for range patience / silentReportInterval {
				time.Sleep(silentReportInterval)
				tg.reportRank("worker-0:80", reportSilent)
			}
		})
		for i := range patience / overloadInterval {
			time.Sleep(overloadInterval)
			wg.Go(func() { tg.stream(t, fmt.Sprintf("further-%d", i)) })
		}
		wg.Wait()
		want := callerResponse{
			Status: http.StatusOK,
			Body:   wantEvents(1, movedEvents),
		}
		for i := range got {
			if diff := cmp.Diff(want, got[i]); diff != "" {
				t.Errorf("stream %d differs (-want +got):\n%s", i, diff)
			}
		}
	})
}

// Guards against streams that stay at a silent rank until their callers have hardly any
// patience left, because the group was held as the rank fell silent and then makes slow passes.
func TestStreamLeavesSilentRankSoonAfterHold(t *testing.T) {
	const (
		holdTime = 700 * time.Millisecond
		slowPass = 100 * time.Millisecond
		// leaveTime bounds the time from the end of the hold: two passes and a check.
		leaveTime = 3 * slowPass
	)
	synctest.Test(t, func(t *testing.T) {
		silent := make(chan string, 1)
		left := make(chan time.Time, 1)
		calls := callCounter{}
		var workers []http.HandlerFunc
		for i := range 3 {
			workers = append(workers, inOrder(&calls, func(w http.ResponseWriter, r *http.Request) {
				silent <- fmt.Sprintf("worker-%d:80", i)
				silentAfterTwo(w, r)
			}, func(w http.ResponseWriter, r *http.Request) {
				left <- time.Now()
				pacedEvents(w, r)
			}))
		}
		tg := newTestGatewayOn(t, &pipeNetwork{}, "models", workers...)
		tg.timeout = 4 * time.Second
		tg.reportRank("none", reportSilent) // lists all ranks
		ended := make(chan callerResponse, 1)
		go func() { ended <- tg.stream(t, "r1") }()
		time.Sleep(holdTime)
		released := time.Now()
		tg.reportRank(<-silent, reportSilent)
		for range 10 {
			time.Sleep(slowPass)
			tg.gateway.Scheduler.ObserveEventGap("models", "w0", slowPass)
		}
		if took := (<-left).Sub(released); took > leaveTime {
			t.Errorf("stream left the silent rank %s after the hold, want at most %s", took, leaveTime)
		}
		want := callerResponse{
			Status: http.StatusOK,
			Body:   wantEvents(1, movedEvents),
		}
		if diff := cmp.Diff(want, <-ended); diff != "" {
			t.Errorf("response differs (-want +got):\n%s", diff)
		}
	})
}
