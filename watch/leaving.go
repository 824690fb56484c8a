package watch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

const (
	// departureTTL is how long it is remembered that an upstream leaves. It is longer than
	// upstreams take to end, and than the store is away.
	departureTTL = 30 * time.Minute
	// maxDepartures is the maximum number of upstreams that are remembered to leave.
	maxDepartures = 1 << 12
)

// leavingTotal counts the upstreams that said in an answer that they leave, before their
// rows did.
var leavingTotal = metrics.NewCounter("foxtailstack_watch_leaving_total")

// departure is the end of one start of an upstream.
type departure struct {
	start int64
	at    time.Time
}

// MarkLeaving records that an upstream has said that it leaves. It counts as draining from
// now on, until it starts anew. An upstream that announces no start counts as draining
// until its row changes.
func (v *View) MarkLeaving(u route.Upstream) {
	v.mu.Lock()
	current, ok := v.upstreams[u.Name]
	if !ok || current.StartUnixMilli != u.StartUnixMilli || current.Draining || v.hasLeft(current) {
		v.mu.Unlock()
		return
	}
	leavingTotal.Inc()
	v.Log.Info("upstream leaves",
		zap.String("service", string(u.Service)),
		zap.String("upstream", string(u.Name)),
		zap.Int64("start", u.StartUnixMilli))
	v.recordLeaving(u)
	if u.StartUnixMilli == 0 {
		current.Draining = true
		v.upstreams[u.Name] = current
	}
	v.storeFleet()
	v.mu.Unlock()
	if v.OnFleetChange != nil {
		v.OnFleetChange()
	}
}

// recordLeaving remembers that a start of an upstream leaves. The caller holds mu.
func (v *View) recordLeaving(u route.Upstream) {
	if u.StartUnixMilli == 0 {
		return // another start could not be told from it
	}
	if v.leaving == nil {
		v.leaving = make(map[foxtailstack.UpstreamName]departure)
	}
	v.dropDepartures()
	if len(v.leaving) < maxDepartures {
		v.leaving[u.Name] = departure{
			start: u.StartUnixMilli,
			at:    time.Now(),
		}
	}
}

// hasLeft reports whether this start of an upstream was seen to leave. The caller holds mu.
func (v *View) hasLeft(u route.Upstream) bool {
	d, ok := v.leaving[u.Name]
	return ok && d.start == u.StartUnixMilli
}

// dropDepartures forgets the departures that are older than departureTTL. The caller holds
// mu.
func (v *View) dropDepartures() {
	for name, d := range v.leaving {
		if time.Since(d.at) > departureTTL {
			delete(v.leaving, name)
		}
	}
}
