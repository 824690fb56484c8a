package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
)

// Metrics of the gateway. Label values are from fixed sets, so that the number of
// series does not grow with callers, teams or upstreams. The histograms hold the
// time from arrival to the first bytes of the response, the time from arrival to
// the end of every request, failed ones included, and the time spent waiting for
// reservations.
var (
	sendsTotal             = metrics.NewCounter("foxtailstack_gateway_sends_total")
	resumesTotal           = metrics.NewCounter("foxtailstack_gateway_resumes_total")
	eventsTotal            = metrics.NewCounter("foxtailstack_gateway_events_total")
	retriesGrantedTotal    = metrics.NewCounter("foxtailstack_gateway_retries_granted_total")
	retriesDeniedTotal     = metrics.NewCounter("foxtailstack_gateway_retries_denied_total")
	trialsTotal            = metrics.NewCounter("foxtailstack_gateway_trials_total")
	stalledLeavesTotal     = metrics.NewCounter(`foxtailstack_gateway_leaves_total{reason="still"}`)
	slowLeavesTotal        = metrics.NewCounter(`foxtailstack_gateway_leaves_total{reason="slow"}`)
	memoryRefusalsTotal    = metrics.NewCounter("foxtailstack_gateway_memory_refusals_total")
	unbufferedTotal        = metrics.NewCounter("foxtailstack_gateway_unbuffered_total")
	slowCallersTotal       = metrics.NewCounter("foxtailstack_gateway_slow_callers_total")
	skippedOtherTotal      = metrics.NewCounter(`foxtailstack_gateway_skipped_responses_total{kind="other-request"}`)
	informationalTotal     = metrics.NewCounter(`foxtailstack_gateway_skipped_responses_total{kind="informational"}`)
	timeToFirstByteSeconds = metrics.NewHistogram("foxtailstack_gateway_first_seconds")
	requestSeconds         = metrics.NewHistogram("foxtailstack_gateway_answer_seconds")
	queueSeconds           = metrics.NewHistogram("foxtailstack_gateway_wait_seconds")
)

// countHeldBack counts a request that waited while ranks had free slots.
func countHeldBack(cause dispatch.HoldCause) {
	metrics.GetOrCreateCounter(
		fmt.Sprintf("foxtailstack_gateway_held_back_total{cause=%q}", cause),
	).Inc()
}

// countRequest updates the metrics at the end of a request.
func countRequest(status int, reason endReason, timeToFirstByte, duration time.Duration) {
	metrics.GetOrCreateCounter(
		fmt.Sprintf("foxtailstack_gateway_requests_total{reason=%q,class=%q}", string(reason), statusClass(status)),
	).Inc()
	requestSeconds.Update(duration.Seconds())
	if timeToFirstByte > 0 {
		timeToFirstByteSeconds.Update(timeToFirstByte.Seconds())
	}
}

// countRefusal counts an attempt that the upstream refused, by how the refusal came: whether
// the connection was a kept one, the status, and whether the request was written whole.
func countRefusal(in *exchange.IncomingResponse) {
	conn, written := "new", "part"
	if in.Transfer.Kept {
		conn = "kept"
	}
	if in.Transfer.Whole {
		written = "whole"
	}
	metrics.GetOrCreateCounter(
		fmt.Sprintf("foxtailstack_gateway_refusals_total{conn=%q,status=%q,written=%q}", conn, refusalStatus(in.Status), written),
	).Inc()
}

// refusalStatus returns the status of a refusal, or "other" for unusual ones.
func refusalStatus(status int) string {
	switch status {
	case http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return strconv.Itoa(status)
	}
	return "other"
}

// countPromise counts a request that is not idempotent and was answered with a status that
// promises that it has not run, by what that rests on. With beliefMayHaveRun the promise would
// be false.
func countPromise(b belief) {
	metrics.GetOrCreateCounter(
		fmt.Sprintf("foxtailstack_gateway_promises_total{belief=%q}", b),
	).Inc()
}

// statusClass returns the class of a status code, such as "5xx", or "none".
func statusClass(status int) string {
	if status < 100 || status > 599 {
		return "none"
	}
	return fmt.Sprintf("%dxx", status/100)
}
