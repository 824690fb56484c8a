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
	// plannerTimeout is the time without a message from the planner after which
	// a sidecar may take over.
	plannerTimeout = 1200 * time.Millisecond
	// switchingPlannerTimeout is the same during a switch, while the group may
	// be held and make no passes.
	switchingPlannerTimeout = 450 * time.Millisecond
	// startupPlannerTimeout is the same for a sidecar that has not heard from
	// any planner since it started.
	startupPlannerTimeout = 500 * time.Millisecond
	// takeoverDelayPerRank times the number of the sidecar's rank is added to
	// these timeouts, so that the sidecars do not all take over at once.
	takeoverDelayPerRank = 300 * time.Millisecond
	// plannerCheckInterval is the time between two checks whether the planner
	// has timed out.
	plannerCheckInterval = 100 * time.Millisecond
	// claimRetryInterval is the time between two attempts to take over.
	claimRetryInterval = 700 * time.Millisecond
)

// Candidate runs the planner of a group beside its sidecar when no other
// sidecar does.
type Candidate struct {
	Name foxtailstack.InstanceName
	// Address is the address of the sidecar.
	Address foxtailstack.Address
	Sidecar *Sidecar
	// Election holds the row that decides which sidecar plans.
	Election foxtailstack.Election
	// Members returns the ranks that may belong to the group. Their requests
	// carry the given PlannerInfo. Until the list of upstreams has been read, it returns
	// those at the given addresses, which are in the last status of the group.
	Members func(planner PlannerInfo, known []foxtailstack.Address) []Member
	// StartUpdates starts to keep the results of Members and GroupConfig up to
	// date, until its context ends.
	StartUpdates func(ctx context.Context)
	// GroupConfig returns the configuration of the group, or nil if it is not known
	// yet.
	GroupConfig func() *route.Group
	Log         *zap.Logger

	// successor is the version of the election's row that another sidecar wrote as it took
	// over from the planner that this one last heard, and successorSeen when that was read.
	successor     foxtailstack.StoreVersion
	successorSeen time.Time
}

// Run takes over planning whenever the planner has timed out, until ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	c.Sidecar.startPlannerTimeout()
	for clock.Sleep(ctx, plannerCheckInterval) == nil {
		report, ok := c.localReport(ctx)
		if !ok {
			continue
		}
		if !c.Sidecar.plannerTimedOut(time.Duration(report.Rank) * takeoverDelayPerRank) {
			continue
		}
		fence, err := c.claim(ctx, report.Group)
		if err != nil {
			c.Log.Info("not the planner", zap.String("group", string(report.Group)), zap.Error(err))
			_ = clock.Sleep(ctx, claimRetryInterval) // the loop condition handles the end of ctx
			continue
		}
		c.runPlanner(ctx, report, fence)
	}
}

// localReport returns the report of the rank beside the sidecar. It returns
// false if the planner has not timed out, the rank does not answer or it belongs
// to no group of several ranks.
func (c *Candidate) localReport(ctx context.Context) (Report, bool) {
	if !c.Sidecar.plannerTimedOut(0) {
		return Report{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	report, err := c.Sidecar.localReport(ctx)
	return report, err == nil && report.Group != "" && report.Size > 1
}

// claim writes the name of the sidecar to the election's row and returns the
// version of the row, which is the fencing token of the new planner. If the outcome
// of the write is unknown, it reads the row to find out. It fails if a planner has
// sent a message meanwhile.
func (c *Candidate) claim(ctx context.Context, group Name) (foxtailstack.FencingToken, error) {
	_, version, err := c.Election.Holder(ctx, string(group))
	if err != nil {
		return 0, err
	}
	if !c.Sidecar.plannerTimedOut(0) {
		return 0, errors.New("another planner has sent a message meanwhile")
	}
	if c.precededBy(version, time.Now()) {
		return 0, errors.New("another sidecar has just taken over")
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

// precededBy reports whether another sidecar wrote a version of the election's row so shortly
// before now that its first message may be on the way. It returns false if this sidecar has
// not heard of any planner since it started: it does not know which version is new.
func (c *Candidate) precededBy(version foxtailstack.StoreVersion, now time.Time) bool {
	heard := c.Sidecar.plannerFence()
	if heard == 0 || foxtailstack.FencingToken(version) == heard {
		return false
	}
	if c.successor != version {
		c.successor = version
		c.successorSeen = now
	}
	return now.Sub(c.successorSeen) < switchingPlannerTimeout
}

// runPlanner runs a planner until another sidecar takes over or ctx ends. It
// returns at once, without a log line, if the sidecar already knows a newer
// planner.
func (c *Candidate) runPlanner(ctx context.Context, report Report, fence foxtailstack.FencingToken) {
	info := PlannerInfo{
		Planner: c.Name,
		Address: c.Address,
		Fence:   fence,
		Group:   report.Group,
	}
	err := c.Sidecar.RecordPlanner(info)
	if err != nil {
		return
	}
	takeoversTotal.Inc()
	log := c.Log.With(zap.String("group", string(report.Group)))
	log.Info("planner began", zap.Uint64("fence", uint64(fence)))
	updatesCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.StartUpdates(updatesCtx)
	demand := newRowStore(c.Election, report.Group, demandSuffix, log)
	members := newRowStore(c.Election, report.Group, membersSuffix, log)
	known := c.Sidecar.knownMembers()
	planner := &Planner{
		Name:  report.Group,
		Fence: fence,
		Size:  report.Size,
		Known: decodeMembers(members.load(ctx)),
		Self:  report.Rank,
		Members: func() []Member {
			return c.Members(info, known)
		},
		GroupConfig: c.GroupConfig,
		StoreDemand: func(estimate []byte) {
			demand.saveAsync(ctx, estimate)
		},
		StoreMembers: func(addresses []foxtailstack.Address) {
			members.saveAsync(ctx, encodeMembers(addresses))
		},
		Publish: func(status *StatusMessage) {
			c.Sidecar.learnStatus(status)
		},
		Log: log,
	}
	planner.roster.restore(report.Group, known)
	planner.RestoreDemand(demand.load(ctx))
	err = planner.Run(ctx)
	log.Info("planner ended", zap.Error(err))
}
