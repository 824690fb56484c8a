package group

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

const (
	// patience is how long a planner may be silent before another takes over.
	patience = 1200 * time.Millisecond
	// switchPatience is the same while a switch has been begun, during which the
	// group may stand still.
	switchPatience = 450 * time.Millisecond
	// firstPatience is the same for a sidecar that has just started.
	firstPatience = 500 * time.Millisecond
	// patiencePerRank keeps the sidecars from taking over all at once.
	patiencePerRank = 300 * time.Millisecond
	// watchPause is the time between two looks for the planner.
	watchPause = 100 * time.Millisecond
	// claimPause is the time between two attempts to take over.
	claimPause = 700 * time.Millisecond
)

// Candidate makes its sidecar the planner when there is none.
type Candidate struct {
	Name foxtailstack.InstanceName
	// Address is that of the sidecar.
	Address foxtailstack.Address
	Sidecar *Sidecar
	// Election decides which sidecar plans.
	Election foxtailstack.Election
	// Members returns the ranks that may belong to the group, as this sidecar
	// reaches them as the planner.
	Members func(planner PlannerInfo) []Member
	// StartUpdates begins to keep what Members and Shape tell current, until its context
	// ends. Members returns nothing until it has read the list.
	StartUpdates func(ctx context.Context)
	// Shape describes the engines; nil if it is not known yet.
	Shape func() *route.Group
	Log   *zap.Logger
}

// Run waits for its turn to plan until ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	c.Sidecar.begin()
	for clock.Sleep(ctx, watchPause) == nil {
		report, ok := c.own(ctx)
		if !ok {
			continue
		}
		if !c.Sidecar.silent(time.Duration(report.Rank) * patiencePerRank) {
			continue
		}
		fence, err := c.claim(ctx, report.Group)
		if err != nil {
			c.Log.Info("not the planner", zap.String("group", string(report.Group)), zap.Error(err))
			_ = clock.Sleep(ctx, claimPause) // the loop ends if ctx has
			continue
		}
		c.plan(ctx, report, fence)
	}
}

// own returns the report of the rank beside the sidecar if it belongs to a group.
func (c *Candidate) own(ctx context.Context) (Report, bool) {
	if !c.Sidecar.silent(0) {
		return Report{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	report, err := c.Sidecar.Rank.Report(ctx)
	return report, err == nil && report.Group != "" && report.Size > 1
}

// claim takes the election's row and returns the fencing number.
func (c *Candidate) claim(ctx context.Context, group Name) (foxtailstack.FencingToken, error) {
	_, version, err := c.Election.Holder(ctx, string(group))
	if err != nil {
		return 0, err
	}
	if !c.Sidecar.silent(0) {
		return 0, errors.New("a planner has been heard meanwhile")
	}
	claimed, err := c.Election.Claim(ctx, string(group), version, []byte(c.Name))
	if errors.Is(err, foxtailstack.ErrUncertain) {
		var value []byte
		value, claimed, err = c.Election.Holder(ctx, string(group))
		if err == nil && (string(value) != string(c.Name) || claimed == version) {
			err = foxtailstack.ErrConflict
		}
	}
	return foxtailstack.FencingToken(claimed), err
}

// plan plans until another sidecar takes over.
func (c *Candidate) plan(ctx context.Context, report Report, fence foxtailstack.FencingToken) {
	planning := PlannerInfo{
		Planner: c.Name,
		Address: c.Address,
		Fence:   fence,
	}
	err := c.Sidecar.ReceiveHeartbeat(planning)
	if err != nil {
		return
	}
	takeoversTotal.Inc()
	c.Log.Info("planner began", zap.String("group", string(report.Group)), zap.Uint64("fence", uint64(fence)))
	following, cancel := context.WithCancel(ctx)
	defer cancel()
	c.StartUpdates(following)
	kept := newArchive(c.Election, report.Group, c.Log)
	planner := &Planner{
		Name:  report.Group,
		Fence: fence,
		Self:  report.Rank,
		Members: func() []Member {
			return c.Members(planning)
		},
		Shape: c.Shape,
		StoreDemand: func(demand []byte) {
			kept.remember(ctx, demand)
		},
		Publish: c.Sidecar.publish,
		Log:     c.Log,
	}
	planner.RestoreDemand(kept.recall(ctx))
	err = planner.Run(ctx)
	c.Sidecar.publish(nil)
	c.Log.Info("planner ended", zap.String("group", string(report.Group)), zap.Error(err))
}
