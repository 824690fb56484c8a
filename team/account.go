package team

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// requestHorizon is the span of expected demand that an entry requests in
	// advance. It is also the span of the entry's share that bounds the balance
	// earned while the owner is unreachable and the debt up to which requests are
	// admitted, and the span of demand that counts for a caller's retry delay.
	requestHorizon = time.Second
	// refillThreshold is the span of expected demand that the balance must cover;
	// below it the entry requests another grant.
	refillThreshold = requestHorizon / 2
	// demandTimeConstant is the time constant of the exponentially weighted demand.
	demandTimeConstant = time.Second
	// grantValidity is the time after a grant at which unspent tokens expire.
	grantValidity = 3 * time.Second
	// minRequestDelay and maxRequestDelay bound the mean time from a grant of fewer
	// tokens than requested to the next request. The entry also raises the drawn
	// time to minRequestDelay. The longest drawn time is 1.5*maxRequestDelay, below
	// the time in which a pool fills up and would discard tokens.
	minRequestDelay = 100 * time.Millisecond
	maxRequestDelay = burst / 2
	// ownerRetryInterval is the time from a failed request to the next one.
	ownerRetryInterval = time.Second
	// minCallerRetry is the shortest mean retry delay given to a refused caller.
	minCallerRetry = 200 * time.Millisecond
	// maxCallerRetry is the longest mean retry delay given to a refused caller.
	maxCallerRetry = 10 * time.Second
)

// GrantRequest is the message with which an entry requests tokens from the owner
// of a team.
type GrantRequest struct {
	Team  foxtailstack.TeamName     `cbor:"1,keyasint"`
	Entry foxtailstack.InstanceName `cbor:"2,keyasint"`
	// Wanted is the number of tokens wanted in addition to Debt.
	Wanted foxtailstack.Tokens `cbor:"3,keyasint"`
	// Debt is the number of tokens spent beyond earlier grants.
	Debt foxtailstack.Tokens `cbor:"4,keyasint,omitempty"`
}

// Grant is the response to a GrantRequest.
type Grant struct {
	// Tokens is the number of tokens granted, without those that cover the reported
	// debt.
	Tokens foxtailstack.Tokens `cbor:"1,keyasint"`
	// NextRequestAfter is the time to the next request if Tokens is less than Wanted.
	NextRequestAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// RepayTime is the time until the pool has earned the tokens of its debt.
	RepayTime time.Duration `cbor:"3,keyasint,omitempty"`
}

// Limit is the rate limit of a team and the number of entries that share it.
type Limit struct {
	// Rate is the limit of all entries together, in tokens per second.
	Rate foxtailstack.Tokens
	// Entries is the number of entries that share Rate.
	Entries int
}

// share returns the equal share of one entry, in tokens per second.
func (l Limit) share() float64 {
	return float64(l.Rate) / float64(max(l.Entries, 1))
}

// Account holds the tokens that one entry may spend for one team. It reads no
// clock: the caller passes the current time. The zero value has no tokens. An
// Account is not safe for concurrent use.
type Account struct {
	// Rand randomizes the retry delays of refused callers; nil means the global
	// source.
	Rand *rand.Rand

	// balance is the number of tokens available; a negative balance is a debt.
	balance float64
	// expires is the time at which a positive balance expires.
	expires time.Time
	// demand is the exponentially weighted demand in tokens per second, valid at
	// the time at.
	demand float64
	at     time.Time
	// pending is the unanswered request; it is valid if requestPending is set.
	pending        GrantRequest
	requestPending bool
	// nextRequestAt is the earliest time of the next request. Before
	// noOverdraftUntil requests are admitted only from a positive balance.
	nextRequestAt    time.Time
	noOverdraftUntil time.Time
	// ownerUnreachable is set from a failed request to the next grant.
	ownerUnreachable bool
}

// Admit deducts cost from the account. If the team is over its limit, it deducts
// nothing and returns false and the time after which the caller may retry.
func (a *Account) Admit(now time.Time, limit Limit, cost foxtailstack.Tokens) (time.Duration, bool) {
	a.update(now, limit)
	a.demand += float64(cost) / demandTimeConstant.Seconds()
	if a.balance > 0 || a.mayOverdraw(now, limit) {
		a.balance -= float64(cost)
		return 0, true
	}
	return a.callerRetryAfter(limit, cost), false
}

// Settle replaces the estimated cost of an admitted request by its actual cost.
func (a *Account) Settle(estimate, actual foxtailstack.Tokens) {
	a.balance -= float64(actual - estimate)
}

// NextRequest returns the request to send to the owner, or false if none is due.
// The caller must report its result with ApplyGrant or RequestFailed.
func (a *Account) NextRequest(now time.Time, limit Limit) (GrantRequest, bool) {
	a.update(now, limit)
	if a.requestPending || now.Before(a.nextRequestAt) || a.balance >= a.demand*refillThreshold.Seconds() && a.balance >= 0 {
		return GrantRequest{}, false
	}
	a.requestPending = true
	a.pending = GrantRequest{
		Wanted: foxtailstack.Tokens(math.Ceil(a.demand*requestHorizon.Seconds() - max(a.balance, 0))),
		Debt:   foxtailstack.Tokens(max(-a.balance, 0)),
	}
	return a.pending, true
}

// ApplyGrant adds the grant that answers the pending request and clears the
// reported debt, which the pool has taken over. If the grant is smaller than
// wanted, it postpones the next request by grant.NextRequestAfter and forbids
// overdrafts for grant.RepayTime, each with a lower bound.
func (a *Account) ApplyGrant(now time.Time, grant Grant) {
	a.requestPending = false
	a.ownerUnreachable = false
	a.balance += float64(a.pending.Debt + grant.Tokens)
	a.expires = now.Add(grantValidity)
	a.nextRequestAt = now
	if grant.Tokens < a.pending.Wanted {
		a.nextRequestAt = now.Add(max(grant.NextRequestAfter, minRequestDelay))
		a.noOverdraftUntil = now.Add(max(grant.RepayTime, grantValidity))
	}
}

// RequestFailed records that the pending request failed. The next one is due no
// earlier than ownerRetryInterval later. Until a request succeeds, the account earns
// the entry's share of the limit, up to a balance of the share of requestHorizon.
func (a *Account) RequestFailed(now time.Time) {
	a.requestPending = false
	a.ownerUnreachable = true
	a.nextRequestAt = now.Add(ownerRetryInterval)
}

// Idle reports whether the account is unused for grantValidity and can be removed.
// Its removal loses no valid grant, debt or pending request. It may lose a share
// earned while the owner is unreachable, and the time before which overdrafts are
// forbidden.
func (a *Account) Idle(now time.Time) bool {
	return !a.requestPending && a.balance >= 0 && now.After(a.expires) && now.Sub(a.at) > grantValidity
}

// update decays the demand. While the owner is unreachable, it adds the share
// earned since the last update; otherwise it drops expired tokens.
func (a *Account) update(now time.Time, limit Limit) {
	elapsed := now.Sub(a.at)
	if a.at.IsZero() {
		elapsed = 0
	}
	a.at = now
	a.demand *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	if a.ownerUnreachable {
		earned := limit.share() * elapsed.Seconds()
		a.balance = min(a.balance+earned, max(a.balance, limit.share()*requestHorizon.Seconds()))
		return
	}
	if now.After(a.expires) {
		a.balance = min(a.balance, 0)
	}
}

// mayOverdraw reports whether a request may be admitted without a positive
// balance, before a grant arrives. The debt may reach one second's share plus the
// cost of the request that exceeds it. No overdraft is allowed while the owner is
// unreachable or the last grant shows that the team is at its limit.
func (a *Account) mayOverdraw(now time.Time, limit Limit) bool {
	return !a.ownerUnreachable && !now.Before(a.noOverdraftUntil) && a.balance > -limit.share()*requestHorizon.Seconds()
}

// callerRetryAfter returns the time after which a refused caller may retry. Its mean
// is the time in which the entry earns the tokens that its callers demand, bounded
// by minCallerRetry and maxCallerRetry. It is drawn from 0.5 to 1.5 of the mean, so
// that retries are spread.
func (a *Account) callerRetryAfter(limit Limit, cost foxtailstack.Tokens) time.Duration {
	draw := rand.Float64
	if a.Rand != nil {
		draw = a.Rand.Float64
	}
	shortfall := float64(cost) - a.balance + a.demand*requestHorizon.Seconds()
	base := max(shortfall/max(limit.share(), 1), minCallerRetry.Seconds())
	base = min(base, maxCallerRetry.Seconds())
	return time.Duration((0.5 + draw()) * base * float64(time.Second))
}
