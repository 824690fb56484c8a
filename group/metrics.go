package group

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of the planner and the sidecars. failedSwitchesTotal counts all errors
// after a survey, also of reading the map or announcing the fencing token, and
// settledSwitchesTotal counts attempts to end an open switch. unconfirmedOrdersTotal and
// directObservationsTotal count the ranks that a planner has to call itself, since the
// sidecar that should have forwarded its message did not answer for them.
var (
	surveysTotal            = metrics.NewCounter("foxtailstack_group_surveys_total")
	incompleteSurveysTotal  = metrics.NewCounter("foxtailstack_group_surveys_incomplete_total")
	shiftsTotal             = metrics.NewCounter("foxtailstack_group_shifts_total")
	mapsTotal               = metrics.NewCounter("foxtailstack_group_maps_total")
	failedSwitchesTotal     = metrics.NewCounter("foxtailstack_group_switches_failed_total")
	settledSwitchesTotal    = metrics.NewCounter("foxtailstack_group_switches_settled_total")
	copiesTotal             = metrics.NewCounter("foxtailstack_group_copies_total")
	ordersTotal             = metrics.NewCounter("foxtailstack_group_orders_total")
	unconfirmedOrdersTotal  = metrics.NewCounter("foxtailstack_group_orders_unconfirmed_total")
	directObservationsTotal = metrics.NewCounter("foxtailstack_group_observations_direct_total")
	takeoversTotal          = metrics.NewCounter("foxtailstack_group_takeovers_total")
	prepareSeconds          = metrics.NewHistogram("foxtailstack_group_prepare_seconds")
	switchSeconds           = metrics.NewHistogram("foxtailstack_group_switch_seconds")
	skewPlanned             = metrics.NewHistogram("foxtailstack_group_skew_planned")
)

// groupInfo returns the gauge that is one while the rank beside this process belongs to a
// group. It names the group for the other metrics of the process, which has one rank.
func groupInfo(name Name) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf("foxtailstack_group_info{group=%q}", name), nil)
}
