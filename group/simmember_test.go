package group

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// simMember is a rank as one planner reaches it. It implements Member.
type simMember struct {
	rank *simRank
	// local is set if the rank is beside the planner, so that the connection
	// between the two never fails.
	local   bool
	planner *simPlanner
	fence   foxtailstack.FencingToken
	// group is the group of the planner.
	group Name
}

// simPlanner is one planner of a simulated group, which can be frozen.
type simPlanner struct {
	mu          sync.Mutex
	frozenUntil time.Time
	// linkFreeAt is the time at which the link of the planner's machine is free, and sent
	// the number of messages sent over it.
	linkFreeAt time.Time
	sent       int
}

// send waits until a message has passed the link of the planner's machine, which takes d.
func (p *simPlanner) send(d time.Duration) {
	p.mu.Lock()
	p.sent++
	now := time.Now()
	if p.linkFreeAt.Before(now) {
		p.linkFreeAt = now
	}
	p.linkFreeAt = p.linkFreeAt.Add(d)
	wait := p.linkFreeAt.Sub(now)
	p.mu.Unlock()
	time.Sleep(wait)
}

// freeze freezes the planner for a time.
func (p *simPlanner) freeze(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozenUntil = time.Now().Add(d)
}

// waitUntilAwake returns once the planner is not frozen.
func (p *simPlanner) waitUntilAwake() {
	for {
		p.mu.Lock()
		left := time.Until(p.frozenUntil)
		p.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// connect waits until the planner is awake and reports whether the rank can be
// reached. A frozen machine does not answer before ctx ends.
func (m *simMember) connect(ctx context.Context) bool {
	m.planner.waitUntilAwake()
	if !m.local {
		m.planner.send(m.rank.group.sendTime)
	}
	if ctx.Err() != nil {
		return false
	}
	m.rank.group.mu.Lock()
	unreachable := !m.local && m.rank.unreachable
	m.rank.group.mu.Unlock()
	if unreachable {
		<-ctx.Done()
	}
	return !unreachable
}

func (m *simMember) Address() foxtailstack.Address {
	return m.rank.address()
}

func (m *simMember) Heartbeat(context.Context) {}

func (m *simMember) Direct() Rank {
	return m
}

func (m *simMember) Report(ctx context.Context) (Report, error) {
	if !m.connect(ctx) {
		return Report{}, errUnreachable
	}
	m.rank.group.mu.Lock()
	defer m.rank.group.mu.Unlock()
	return m.rank.currentReport(), nil
}

func (m *simMember) Counts(ctx context.Context) (Counts, error) {
	if !m.connect(ctx) {
		return Counts{}, errUnreachable
	}
	m.rank.group.mu.Lock()
	defer m.rank.group.mu.Unlock()
	return Counts{
		Formation: m.rank.group.formation,
		Chosen:    slices.Clone(m.rank.chosen),
	}, nil
}

// Observe ignores withSample: it always takes a sample.
func (m *simMember) Observe(ctx context.Context, _ bool) (Observation, error) {
	if !m.connect(ctx) {
		return Observation{}, errUnreachable
	}
	if m.rank.group.name != m.group {
		m.rank.group.mu.Lock()
		defer m.rank.group.mu.Unlock()
		return Observation{}, m.rank.group.refuse()
	}
	return m.observation(), nil
}

// observation returns the present observation of the rank's sidecar.
func (m *simMember) observation() Observation {
	m.rank.group.mu.Lock()
	defer m.rank.group.mu.Unlock()
	counts := Counts{
		Formation: m.rank.group.formation,
		Chosen:    slices.Clone(m.rank.chosen),
	}
	answer := Observation{
		Report:    m.rank.currentReport(),
		Sample:    newSample(m.rank.lastCounts, counts),
		ArmRecord: m.rank.armRecord,
	}
	m.rank.newestFence = max(m.rank.newestFence, m.fence)
	m.rank.lastCounts = counts
	return answer
}

// Delegate makes the sidecar of this rank order another rank to arm.
func (m *simMember) Delegate(ctx context.Context, order Order, rankAddress foxtailstack.Address) error {
	if !m.connect(ctx) {
		return errUnreachable
	}
	g := m.rank.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if order.Group != g.name {
		return g.refuse()
	}
	if order.Fence < m.rank.newestFence {
		return ErrFenced
	}
	target := g.rankAt(rankAddress)
	m.rank.armRecord = m.rank.armRecord.afterOrder(order)
	if target.unreachable && target != m.rank {
		time.AfterFunc(outageTime, func() { // the order is delivered when the machine answers again
			g.mu.Lock()
			defer g.mu.Unlock()
			_ = target.carryOut(order) // the reply is lost
		})
		return errNoAnswerInTime
	}
	err := g.deliver(target, order)
	if err == nil {
		m.rank.armRecord.Armed = true
	}
	return err
}

func (m *simMember) Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error) {
	report, err := m.Report(ctx)
	if err != nil {
		return 0, nil, err
	}
	initial := InitialMap(len(m.rank.group.ranks), simConfig.Experts, simConfig.LayerSets)
	experts := make([][]foxtailstack.Expert, simConfig.LayerSets)
	for s := range experts {
		experts[s] = initial[s][m.rank.index]
	}
	return report.Map, experts, nil
}

func (m *simMember) Order(ctx context.Context, order Order) error {
	if !m.connect(ctx) {
		return errNoAnswerInTime
	}
	err := m.orderThroughSidecar(order)
	if errors.Is(err, errNoAnswerInTime) {
		<-ctx.Done()
	}
	return err
}

// orderThroughSidecar sends an order through the rank's sidecar.
func (m *simMember) orderThroughSidecar(order Order) error {
	g := m.rank.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if order.Group != g.name {
		return g.refuse()
	}
	if order.Fence < m.rank.newestFence {
		return ErrFenced
	}
	if order.Action == Prepare {
		m.rank.armRecord = m.rank.armRecord.afterPrepare(order)
	}
	return g.deliver(m.rank, order)
}

// deliver sends an order to a rank, with the outcome that deliveryOf decides.
// The caller holds mu.
func (g *simGroup) deliver(rank *simRank, order Order) error {
	switch g.deliveryOf(rank.index, order) {
	case lostOrder:
		return errNoAnswerInTime
	case lostReply:
		_ = rank.carryOut(order) // the reply is lost
		return errNoAnswerInTime
	case delayed:
		time.AfterFunc(g.delay(), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			_ = rank.carryOut(order) // the reply is lost
		})
		return errNoAnswerInTime
	default:
		return rank.carryOut(order)
	}
}

// rankAt returns the rank at an address. The caller holds mu.
func (g *simGroup) rankAt(address foxtailstack.Address) *simRank {
	for _, r := range g.ranks {
		if r.address() == address {
			return r
		}
	}
	return nil
}

// address returns the address of the rank.
func (r *simRank) address() foxtailstack.Address {
	return foxtailstack.Address(string(r.group.name) + "." + string(rune('a'+int(r.index))) + ":1")
}

// startPlanner runs a planner beside a rank until ctx ends.
func (g *simGroup) startPlanner(
	ctx context.Context,
	self foxtailstack.Rank,
	fence foxtailstack.FencingToken,
) *simPlanner {
	g.mu.Lock()
	g.logEvent("planner %d beside rank %d", fence, self)
	g.mu.Unlock()
	state := &simPlanner{}
	config := simConfig
	if g.configUnread {
		config = nil
	}
	var members []Member
	ranks := slices.Clone(g.ranks)
	if g.beside != nil {
		ranks = append(ranks, g.beside.ranks...)
	}
	for _, r := range ranks {
		member := &simMember{
			rank:    r,
			local:   r.group == g && r.index == self,
			planner: state,
			fence:   fence,
			group:   g.name,
		}
		if member.local {
			members = append(members, member)
		} else {
			members = append(members, &simPeer{simMember: member})
		}
	}
	planner := &Planner{
		Name:        g.name,
		Fence:       fence,
		Self:        self,
		Members:     func() []Member { return members },
		GroupConfig: func() *route.Group { return config },
		StoreDemand: func([]byte) {},
		Publish:     func(*StatusMessage) {},
		Log:         zap.NewNop(),
		fanOut:      g.fanOut,
	}
	go func() { _ = planner.Run(ctx) }() // Run ends with ctx or when a newer planner takes over
	return state
}
