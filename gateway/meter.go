package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of the gateway. Labels are of fixed sets, so that their number does not
// grow with callers, teams or upstreams.
var (
	sendsTotal    = metrics.NewCounter("foxtailstack_gateway_sends_total")
	resumesTotal  = metrics.NewCounter("foxtailstack_gateway_resumes_total")
	eventsTotal   = metrics.NewCounter("foxtailstack_gateway_events_total")
	noRetryTotal  = metrics.NewCounter("foxtailstack_gateway_retries_denied_total")
	stillTotal    = metrics.NewCounter(`foxtailstack_gateway_leaves_total{reason="still"}`)
	slowTotal     = metrics.NewCounter(`foxtailstack_gateway_leaves_total{reason="slow"}`)
	firstSeconds  = metrics.NewHistogram("foxtailstack_gateway_first_seconds")
	answerSeconds = metrics.NewHistogram("foxtailstack_gateway_answer_seconds")
	waitSeconds   = metrics.NewHistogram("foxtailstack_gateway_wait_seconds")
)

// countRequest counts the end of a request.
func countRequest(status int, why reason, first, took time.Duration) {
	metrics.GetOrCreateCounter(
		fmt.Sprintf("foxtailstack_gateway_requests_total{reason=%q,class=%q}", string(why), statusClass(status)),
	).Inc()
	answerSeconds.Update(took.Seconds())
	if first > 0 {
		firstSeconds.Update(first.Seconds())
	}
}

// statusClass returns the class of a status, such as 5xx, or none.
func statusClass(status int) string {
	if status < 100 || status > 599 {
		return "none"
	}
	return fmt.Sprintf("%dxx", status/100)
}
