package quarantine

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// clearedTotal counts the crashes that no longer count because a request with the suspect
// was answered.
var clearedTotal = metrics.NewCounter("foxtailstack_quarantine_cleared_total")

// discountedTotal counts the crashes that were found or learnt and do not count because the
// request or part was served recently.
var discountedTotal = metrics.NewCounter("foxtailstack_quarantine_discounted_total")

// countCrash counts a crash that this process found, once for each request or part that it
// is recorded under.
func countCrash(kind Kind) {
	metrics.GetOrCreateCounter(fmt.Sprintf("foxtailstack_quarantine_crashes_total{kind=%q}", kind.String())).Inc()
}
