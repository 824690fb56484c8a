package group

import (
	"context"

	"github.com/foxtailstack/foxtailstack"
)

// Local is the rank beside the planner's own sidecar. It implements Member and
// Lister.
type Local struct {
	Sidecar *Sidecar
	Planner PlannerInfo
	// Upstream is the address of the rank.
	Upstream foxtailstack.Address
}

// Address returns the address of the rank.
func (l *Local) Address() foxtailstack.Address {
	return l.Upstream
}

// Heartbeat does nothing: the planner's own sidecar does not wait for it.
func (l *Local) Heartbeat(context.Context) {}

// Direct returns the rank itself.
func (l *Local) Direct() Rank {
	return l
}

// Observe returns the report and a sample of the rank at once.
func (l *Local) Observe(ctx context.Context, withSample bool) (Observation, error) {
	err := l.Sidecar.ReceiveHeartbeat(l.Planner)
	if err != nil {
		return Observation{}, err
	}
	return l.Sidecar.Observe(ctx, withSample)
}

// Report returns the state of the rank.
func (l *Local) Report(ctx context.Context) (Report, error) {
	return l.Sidecar.Rank.Report(ctx)
}

// Counts returns what the rank's requests chose.
func (l *Local) Counts(ctx context.Context) (Counts, error) {
	return l.Sidecar.Rank.Counts(ctx)
}

// Experts returns the map in use and the experts of the rank by set.
func (l *Local) Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error) {
	return l.Sidecar.Rank.Experts(ctx)
}

// Order gives an order.
func (l *Local) Order(ctx context.Context, order Order) error {
	return l.Sidecar.Order(ctx, order)
}
