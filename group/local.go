package group

import (
	"context"
	"errors"

	"github.com/foxtailstack/foxtailstack"
)

// Local is the rank beside the planner's own sidecar. The planner calls that
// sidecar in the same process, and the sidecar calls the rank. Local implements
// Member and ExpertLister.
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

// Heartbeat does nothing, since the planner's own sidecar does not take over
// from it.
func (l *Local) Heartbeat(context.Context) {}

// Direct returns the rank itself.
func (l *Local) Direct() Rank {
	return l
}

// Observe returns the report of the rank, the arm record of its sidecar and, if
// withSample is set, a sample of its choices. It counts as a heartbeat of the
// planner. It returns ErrFenced if the sidecar knows a newer planner or the rank has
// joined another group.
func (l *Local) Observe(ctx context.Context, withSample bool) (Observation, error) {
	err := l.Sidecar.RecordPlanner(l.Planner)
	if err != nil {
		return Observation{}, l.supersededError(err)
	}
	answer, err := l.Sidecar.Observe(ctx, withSample)
	if err == nil && answer.Report.Group != "" && answer.Report.Group != l.Planner.Group {
		err = &OtherGroupError{Group: answer.Report.Group}
	}
	return answer, l.supersededError(err)
}

// supersededError returns err, joined with ErrFenced if the rank belongs to another group
// than its planner, which then has to end.
func (l *Local) supersededError(err error) error {
	_, left := otherGroup(err)
	if left {
		return errors.Join(ErrFenced, err)
	}
	return err
}

// Report returns the state of the rank.
func (l *Local) Report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	return l.Sidecar.Rank.Report(ctx)
}

// Counts returns how often the rank's requests chose each expert.
func (l *Local) Counts(ctx context.Context) (Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	return l.Sidecar.Rank.Counts(ctx)
}

// Experts returns the version of the map in use and the experts of the rank, by
// layer set.
func (l *Local) Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	return l.Sidecar.Rank.Experts(ctx)
}

// Order sends an order to the rank through the sidecar, which may refuse it.
func (l *Local) Order(ctx context.Context, order Order) error {
	return l.Sidecar.Order(ctx, order)
}
