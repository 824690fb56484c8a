package machine

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
)

// registerCentreGauges registers the gauges of a data centre: for how long this entry has
// known that it is evacuated, zero if it is not, and how many requests of this entry run
// there.
func (e *Entry) registerCentreGauges(centre foxtailstack.DataCentre) {
	metrics.GetOrCreateGauge(fmt.Sprintf("foxtailstack_watch_evacuated_seconds{centre=%q}", centre), func() float64 {
		since, ok := e.view.Evacuated()[centre]
		if !ok {
			return 0
		}
		return time.Since(since).Seconds()
	})
	metrics.GetOrCreateGauge(fmt.Sprintf("foxtailstack_dispatch_running{centre=%q}", centre), func() float64 {
		return float64(e.scheduler.Running(centre))
	})
}

// coldLimit returns what the upstreams of a service take while they are cold: nothing less
// than usual unless both the configuration and the settings say so.
func (e *Entry) coldLimit(service foxtailstack.ServiceName) dispatch.ColdLimit {
	cfg := e.view.Config()
	if cfg == nil || e.settings.Bounds.ColdOvershoot <= 0 {
		return dispatch.ColdLimit{}
	}
	rate := cfg.Services[service].ColdRate
	if rate <= 0 {
		return dispatch.ColdLimit{}
	}
	return dispatch.ColdLimit{
		Time: cfg.Services[service].ColdTime,
		Rate: rate,
		Most: e.settings.Bounds.ColdOvershoot*float64(rate) + e.settings.Bounds.ColdSlack,
	}
}
