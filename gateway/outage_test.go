package gateway

import (
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
)

// outageCall returns a call whose caller waits for a time more.
func outageCall(left time.Duration) *call {
	return &call{
		gateway: &Gateway{Scheduler: &dispatch.Scheduler{
			Fleet: func() *route.Fleet { return route.NewFleet(1, nil) },
		}},
		route: &route.Route{
			Kind:          route.Stream,
			TargetLatency: 500 * time.Millisecond,
		},
		service:     "models",
		requestInfo: exchange.RequestInfo{PromptTokens: 800},
		arrived:     time.Now(),
		deadline:    time.Now().Add(left),
	}
}

// Guards against requests that are sent as a group opens although their callers leave before
// the first event: each rank reads the prompts of all that waited before it begins to answer.
func TestFirstEventIsLateWhenGroupOpens(t *testing.T) {
	group := &route.Group{
		Slots:                 12,
		PromptTokensPerSecond: 60_000,
	}
	c := outageCall(8 * time.Second)
	var usual, opening dispatch.Request
	c.estimateTimes(&usual, group)
	c.gateway.Scheduler.ObserveFormation("models", "g0", true, 0)
	c.estimateTimes(&opening, group)
	later := opening.TimeToFirstEvent - usual.TimeToFirstEvent
	if want := 160 * time.Millisecond; later != want { // twelve prompts of 800 tokens
		t.Errorf("the first event is expected %s later than usual, want %s", later, want)
	}
	c.requestInfo.PromptTokens = foxtailstack.Tokens(1_000_000)
	c.estimateTimes(&opening, group)
	if later := opening.TimeToFirstEvent - usual.TimeToFirstEvent; later != maxOpeningTime {
		t.Errorf("with a huge prompt the first event is expected %s later than usual, want %s", later, maxOpeningTime)
	}
}

// Guards against callers of a broken group who come back while it is still broken, and then
// not once more: they come back about as late as they can, and not all at the same moment.
func TestRetryAfterDuringOutageIsLate(t *testing.T) {
	const left = 6 * time.Second
	latest := left / retryAfterDivisor
	seen := make(map[time.Duration]bool)
	for range 20 {
		got := outageCall(left).overloadRetryAfter(&dispatch.OverloadError{Broken: true})
		if got > latest || got < latest*3/4 {
			t.Errorf("Retry-After %s with %s left, want at most %s and little less", got, left, latest)
		}
		seen[got.Round(time.Millisecond)] = true
	}
	if len(seen) < 5 {
		t.Errorf("20 callers come back at %d moments, want at least 5", len(seen))
	}
}
