package team

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/wire"
)

const (
	// listInterval is the time between two reads of the list of instances.
	listInterval = 2 * time.Second
	// forgetInterval is the time between two looks for pools and accounts that
	// are no longer in use.
	forgetInterval = 10 * time.Second
	// askTimeout bounds one ask.
	askTimeout = 500 * time.Millisecond
	// backlog is the number of messages to the owner's goroutine that may wait.
	backlog = 1024
)

// StreamBudget is the kind of the streams that ask for tokens.
const StreamBudget wire.Kind = "team-budget"

var (
	admissions = metrics.NewCounter("foxtailstack_team_admitted_total")
	refusals   = metrics.NewCounter("foxtailstack_team_refused_total")
	asks       = metrics.NewCounter("foxtailstack_team_asks_total")
	lost       = metrics.NewCounter("foxtailstack_team_owner_lost_total")
)

// Client makes one exchange with a peer. A *wire.Client is one.
type Client interface {
	// Call sends request and decodes the answer into response.
	Call(ctx context.Context, address foxtailstack.Address, kind wire.Kind, request, response any) error
}

// Limiter holds teams to their limits. It is an entry.Limiter. The zero value
// admits everything. Without Run every entry is alone.
type Limiter struct {
	// Replica holds the configuration; nil admits everything.
	Replica *fleet.Replica
	// Client carries the asks.
	Client Client
	// Instances is the platform's list; nil means that the entry is the only one.
	Instances foxtailstack.InstanceList
	// Name is the name of the entry.
	Name foxtailstack.InstanceName

	once     sync.Once
	entries  atomic.Pointer[[]foxtailstack.Instance]
	accounts sync.Map // of foxtailstack.TeamName to *lockedAccount
	// work holds what the goroutine that owns the pools is to do.
	work  chan func(now time.Time)
	pools map[foxtailstack.TeamName]*Pool
}

// lockedAccount is an Account for concurrent use.
type lockedAccount struct {
	mu sync.Mutex
	Account
}

// start makes the parts that the zero value lacks.
func (l *Limiter) start() {
	l.once.Do(func() {
		l.work = make(chan func(time.Time), backlog)
		l.pools = map[foxtailstack.TeamName]*Pool{}
	})
}

// Admit takes cost from what the team may spend. If the team is over its limit,
// it returns false and when to come back.
func (l *Limiter) Admit(name foxtailstack.TeamName, cost foxtailstack.Tokens) (time.Duration, bool) {
	limit, limited := l.limit(name)
	if !limited {
		return 0, true
	}
	a := l.account(name)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	retry, ok := a.Account.Admit(now, limit, cost)
	l.replenish(now, name, a, limit)
	if ok {
		admissions.Inc()
	} else {
		refusals.Inc()
	}
	return retry, ok
}

// Settle replaces the estimated cost of an admitted request by its true one.
func (l *Limiter) Settle(name foxtailstack.TeamName, estimate, actual foxtailstack.Tokens) {
	_, limited := l.limit(name)
	if !limited {
		return
	}
	a := l.account(name)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Account.Settle(estimate, actual)
}

// limit returns the limit of a team, if it has one.
func (l *Limiter) limit(name foxtailstack.TeamName) (Limit, bool) {
	if l.Replica == nil {
		return Limit{}, false
	}
	rate := l.Replica.Snapshot().Teams[name].Tokens
	limit := Limit{
		Rate:    rate,
		Entries: len(l.list()),
	}
	return limit, rate > 0
}

// account returns the account of a team.
func (l *Limiter) account(name foxtailstack.TeamName) *lockedAccount {
	kept, ok := l.accounts.Load(name)
	if !ok {
		kept, _ = l.accounts.LoadOrStore(name, &lockedAccount{})
	}
	a, _ := kept.(*lockedAccount)
	return a
}

// replenish asks the owner for tokens if the account needs some. The caller
// holds a.mu.
func (l *Limiter) replenish(now time.Time, name foxtailstack.TeamName, a *lockedAccount, limit Limit) {
	ask, needed := a.NextRequest(now, limit)
	if !needed {
		return
	}
	ask.Team = name
	ask.Entry = l.Name
	go l.ask(a, ask)
}

// ask asks the owner of a team for tokens.
func (l *Limiter) ask(a *lockedAccount, ask GrantRequest) {
	asks.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	grant, err := l.obtain(ctx, ask)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		lost.Inc()
		a.OwnerUnreachable(time.Now())
		return
	}
	a.ApplyGrant(time.Now(), grant)
}

// obtain gets a grant from the owner, which may be this entry.
func (l *Limiter) obtain(ctx context.Context, ask GrantRequest) (Grant, error) {
	owner, others := ownerOf(ask.Team, l.list())
	if !others || owner.Name == l.Name || l.Client == nil {
		return l.grant(ctx, ask)
	}
	var grant Grant
	err := l.Client.Call(ctx, owner.Address, StreamBudget, ask, &grant)
	return grant, err
}

// ServeBudget is the handler of StreamBudget. It grants tokens whether or not
// this entry holds itself for the owner.
func (l *Limiter) ServeBudget(ctx context.Context, stream *wire.Stream) {
	var ask GrantRequest
	err := stream.Receive(&ask)
	if err != nil {
		stream.Cancel()
		return
	}
	grant, err := l.grant(ctx, ask)
	if err != nil {
		stream.Cancel()
		return
	}
	_ = stream.Send(grant) // the holder may be gone
}

// grant lets the goroutine of Run answer an ask.
func (l *Limiter) grant(ctx context.Context, ask GrantRequest) (Grant, error) {
	l.start()
	answer := make(chan Grant, 1)
	do := func(now time.Time) { answer <- l.decide(now, ask) }
	select {
	case l.work <- do:
	case <-ctx.Done():
		return Grant{}, ctx.Err()
	}
	select {
	case grant := <-answer:
		return grant, nil
	case <-ctx.Done():
		return Grant{}, ctx.Err()
	}
}

// decide answers an ask from the pool of its team.
func (l *Limiter) decide(now time.Time, ask GrantRequest) Grant {
	rate := l.Replica.Snapshot().Teams[ask.Team].Tokens
	if rate == 0 {
		return Grant{Tokens: ask.Wanted}
	}
	pool, ok := l.pools[ask.Team]
	if !ok {
		pool = &Pool{}
		l.pools[ask.Team] = pool
	}
	return pool.Grant(now, rate, ask)
}

// list returns the entries that share the limits.
func (l *Limiter) list() []foxtailstack.Instance {
	entries := l.entries.Load()
	if entries == nil {
		return nil
	}
	return *entries
}

// Run owns the pools until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.start()
	go l.follow(ctx)
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-l.work:
			do(time.Now())
		case <-ticker.C:
			l.forget(time.Now())
		}
	}
}

// forget drops the pools and accounts that are not in use.
func (l *Limiter) forget(now time.Time) {
	for name, pool := range l.pools {
		if pool.Idle(now) {
			delete(l.pools, name)
		}
	}
	l.accounts.Range(func(key, kept any) bool {
		a, _ := kept.(*lockedAccount)
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.Idle(now) {
			l.accounts.Delete(key)
		}
		return true
	})
}

// follow reads the list of instances until ctx ends.
func (l *Limiter) follow(ctx context.Context) {
	if l.Instances == nil {
		return
	}
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		instances, err := l.Instances.Instances(ctx)
		if entries := entriesOf(instances); err == nil && len(entries) > 0 {
			l.entries.Store(&entries)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
