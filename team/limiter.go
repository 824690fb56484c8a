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
	// evictionInterval is the time between two evictions of idle pools and
	// accounts.
	evictionInterval = 10 * time.Second
	// requestTimeout bounds one request for a grant.
	requestTimeout = 500 * time.Millisecond
	// workQueueSize is the number of tasks that may wait for the goroutine of Run.
	workQueueSize = 1024
)

// StreamGrant is the kind of the streams that carry a GrantRequest.
const StreamGrant wire.Kind = "team-budget"

var (
	admissions    = metrics.NewCounter("foxtailstack_team_admitted_total")
	refusals      = metrics.NewCounter("foxtailstack_team_refused_total")
	grantRequests = metrics.NewCounter("foxtailstack_team_asks_total")
	ownerFailures = metrics.NewCounter("foxtailstack_team_owner_lost_total")
)

// Client sends a request to a peer and returns its response. A *wire.Client is one.
type Client interface {
	// Call sends request and decodes the response of the peer into response.
	Call(ctx context.Context, address foxtailstack.Address, kind wire.Kind, request, response any) error
}

// Limiter holds teams to their limits. It is an entry.Limiter. The zero value
// admits everything. Without Run no list of instances is read and no grant is
// given, so that each entry spends up to the whole limit.
type Limiter struct {
	// Replica holds the configuration; nil admits everything.
	Replica *fleet.Replica
	// Client sends requests for grants to other entries.
	Client Client
	// Instances lists the instances of the platform; nil means that the entry is the
	// only one.
	Instances foxtailstack.InstanceList
	// Name is the name of the entry.
	Name foxtailstack.InstanceName

	once     sync.Once
	entries  atomic.Pointer[[]foxtailstack.Instance]
	accounts sync.Map // of foxtailstack.TeamName to *lockedAccount
	// work holds the tasks for the goroutine of Run, which alone uses pools.
	work  chan func(now time.Time)
	pools map[foxtailstack.TeamName]*Pool
}

// lockedAccount is an Account for concurrent use.
type lockedAccount struct {
	mu sync.Mutex
	Account
}

// initialize creates the channel and the map that the zero value lacks.
func (l *Limiter) initialize() {
	l.once.Do(func() {
		l.work = make(chan func(time.Time), workQueueSize)
		l.pools = map[foxtailstack.TeamName]*Pool{}
	})
}

// Admit deducts cost from the account of the team. If the team is over its limit,
// it returns false and the time after which the caller may retry.
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

// Settle replaces the estimated cost of an admitted request by its actual cost.
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
		Entries: len(l.currentEntries()),
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

// replenish starts a request for a grant if one is due. The caller holds a.mu.
func (l *Limiter) replenish(now time.Time, name foxtailstack.TeamName, a *lockedAccount, limit Limit) {
	request, due := a.NextRequest(now, limit)
	if !due {
		return
	}
	request.Team = name
	request.Entry = l.Name
	go l.requestGrant(a, request)
}

// requestGrant requests tokens from the owner and applies the result to a.
func (l *Limiter) requestGrant(a *lockedAccount, request GrantRequest) {
	grantRequests.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	grant, err := l.grantFromOwner(ctx, request)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		ownerFailures.Inc()
		a.RequestFailed(time.Now())
		return
	}
	a.ApplyGrant(time.Now(), grant)
}

// grantFromOwner returns a grant from the owner, which may be this entry.
func (l *Limiter) grantFromOwner(ctx context.Context, request GrantRequest) (Grant, error) {
	owner, found := ownerOf(request.Team, l.currentEntries())
	if !found || owner.Name == l.Name || l.Client == nil {
		return l.grantLocally(ctx, request)
	}
	var grant Grant
	err := l.Client.Call(ctx, owner.Address, StreamGrant, request, &grant)
	return grant, err
}

// ServeGrant is the handler of StreamGrant. It grants tokens whether or not
// this entry considers itself the owner.
func (l *Limiter) ServeGrant(ctx context.Context, stream *wire.Stream) {
	var request GrantRequest
	err := stream.Receive(&request)
	if err != nil {
		stream.Cancel()
		return
	}
	grant, err := l.grantLocally(ctx, request)
	if err != nil {
		stream.Cancel()
		return
	}
	_ = stream.Send(grant) // the requesting entry may have disconnected
}

// grantLocally has the goroutine of Run answer a request from a local pool.
func (l *Limiter) grantLocally(ctx context.Context, request GrantRequest) (Grant, error) {
	l.initialize()
	response := make(chan Grant, 1)
	do := func(now time.Time) { response <- l.grantFromPool(now, request) }
	select {
	case l.work <- do:
	case <-ctx.Done():
		return Grant{}, ctx.Err()
	}
	select {
	case grant := <-response:
		return grant, nil
	case <-ctx.Done():
		return Grant{}, ctx.Err()
	}
}

// grantFromPool answers a request from the pool of its team. A team without a
// limit gets all the tokens that it wants. Only the goroutine of Run may call it.
func (l *Limiter) grantFromPool(now time.Time, request GrantRequest) Grant {
	rate := l.Replica.Snapshot().Teams[request.Team].Tokens
	if rate == 0 {
		return Grant{Tokens: request.Wanted}
	}
	pool, ok := l.pools[request.Team]
	if !ok {
		pool = &Pool{}
		l.pools[request.Team] = pool
	}
	return pool.Grant(now, rate, request)
}

// currentEntries returns the entries that share the limits. Before the first list
// of instances it returns nil; Limit.share then treats the entry as the only one.
func (l *Limiter) currentEntries() []foxtailstack.Instance {
	entries := l.entries.Load()
	if entries == nil {
		return nil
	}
	return *entries
}

// Run serves the pools, reads the list of instances and evicts idle state until
// ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.initialize()
	go l.watchInstances(ctx)
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-l.work:
			do(time.Now())
		case <-ticker.C:
			l.evictIdle(time.Now())
		}
	}
}

// evictIdle removes idle pools and accounts. Only the goroutine of Run may call it.
func (l *Limiter) evictIdle(now time.Time) {
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

// watchInstances reads the list of instances regularly until ctx ends. A failed
// read or a list without entries leaves the last list in use.
func (l *Limiter) watchInstances(ctx context.Context) {
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
