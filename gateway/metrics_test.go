package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Guards against a number of metric series that grows with requests, callers or
// teams.
func TestSeriesAreBounded(t *testing.T) {
	reasons := []endReason{
		reasonServed, reasonNoConfig, reasonNoRoute, reasonUnknownKey, reasonStaleKeys, reasonBody, reasonNoUpstream,
		reasonOverloaded, reasonNotRun, reasonTimeout, reasonAllFailed, reasonUpstreamFailure, reasonStreamBroken, reasonCallerDisconnected,
		reasonQuarantined, reasonEqualRuns, reasonPaused, reasonLimited, reasonEvacuated, reasonRegions, reasonCallerSlow, reasonMemory,
		reasonStopping, reasonTooLong,
	}
	for status := range 1000 {
		for _, reason := range reasons {
			countRequest(status, reason, time.Duration(status)*time.Millisecond, time.Second)
		}
	}
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	n := strings.Count(out.String(), "foxtailstack_gateway_requests_total{")
	if limit := len(reasons) * 6; n > limit {
		t.Errorf("got %d series of foxtailstack_gateway_requests_total, want at most %d", n, limit)
	}
}
