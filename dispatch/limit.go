package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// limitsTotal counts how often an upstream began to name a limit on its requests.
var limitsTotal = metrics.NewCounter("foxtailstack_dispatch_limits_total")

// ObserveLimit records the rate of requests that an upstream takes from all entries
// together, as it stood in one of its answers; zero if it names none.
func (s *Scheduler) ObserveLimit(u route.Upstream, limit foxtailstack.RequestRate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLimit(&u, limit, 0)
}

// setLimit sets the limit of an upstream and logs a change. age is the age of the status
// that shows it, or zero if there is none. The caller holds mu.
func (s *Scheduler) setLimit(u *route.Upstream, limit foxtailstack.RequestRate, age time.Duration) {
	state := s.upstream(u.Name)
	if state.limit == limit {
		return
	}
	message := "upstream names no limit any more"
	if limit > 0 {
		message = "upstream names a limit"
	}
	if state.limit == 0 {
		limitsTotal.Inc()
	}
	state.limit = limit
	s.logger().Info(message,
		zap.String("service", string(u.Service)),
		zap.String("upstream", string(u.Name)),
		zap.Float64("limit", float64(limit)),
		zap.Duration("age", age))
}
