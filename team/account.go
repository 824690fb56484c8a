package team

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// horizon is the time for which an entry asks for tokens in advance.
	horizon = time.Second
	// refill is the time that a batch must still last; below it the entry asks.
	refill = horizon / 2
	// smoothing is the time constant of the smoothed demand.
	smoothing = time.Second
	// validity is the time after which unspent tokens are lost.
	validity = 3 * time.Second
	// minPause and maxPause bound the mean time between two asks that did not
	// give all that was wanted. A pool must not overflow meanwhile.
	minPause = 100 * time.Millisecond
	maxPause = burst / 2
	// lostPause is the time after which an owner that could not be reached is
	// asked again.
	lostPause = time.Second
	// minReturn is the shortest time after which a refused caller may come back.
	minReturn = 200 * time.Millisecond
	// maxReturn bounds the mean time after which a refused caller may come back.
	maxReturn = 10 * time.Second
)

// GrantRequest asks the owner of a team for tokens.
type GrantRequest struct {
	Team   foxtailstack.TeamName     `cbor:"1,keyasint"`
	Entry  foxtailstack.InstanceName `cbor:"2,keyasint"`
	Wanted foxtailstack.Tokens       `cbor:"3,keyasint"`
	// Debt are tokens already spent.
	Debt foxtailstack.Tokens `cbor:"4,keyasint,omitempty"`
}

// Grant is the answer to an Ask.
type Grant struct {
	Tokens foxtailstack.Tokens `cbor:"1,keyasint"`
	// RetryAfter is when to ask again if Tokens is less than was wanted.
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// RepayTime is the time until what was spent in advance is earned.
	RepayTime time.Duration `cbor:"3,keyasint,omitempty"`
}

// Limit is what an entry must know of a team's limit.
type Limit struct {
	// Rate is the limit in tokens a second.
	Rate foxtailstack.Tokens
	// Entries is the number of entries that share it.
	Entries int
}

// share returns the tokens a second of one entry.
func (l Limit) share() float64 {
	return float64(l.Rate) / float64(max(l.Entries, 1))
}

// Account is what one entry may spend of the limit of one team. It reads no
// clock: the caller passes the present time. The zero value has no tokens. An
// Account is not safe for concurrent use.
type Account struct {
	// Rand spreads the returns of refused callers; nil means the global source.
	Rand *rand.Rand

	// balance are the tokens in hand; a negative one is a debt.
	balance float64
	expires time.Time
	// demand is the smoothed demand in tokens a second, as of at.
	demand float64
	at     time.Time
	// open is the ask under way, if asking is set.
	open   GrantRequest
	asking bool
	// next is when the entry may ask again, and blocked when it may again spend
	// in advance.
	next    time.Time
	blocked time.Time
	// alone is set while the owner cannot be reached.
	alone bool
}

// Admit takes cost from the account. If the team is over its limit, it returns
// false and when to come back.
func (a *Account) Admit(now time.Time, limit Limit, cost foxtailstack.Tokens) (time.Duration, bool) {
	a.advance(now, limit)
	a.demand += float64(cost) / smoothing.Seconds()
	if a.balance > 0 || a.mayAdvance(now, limit) {
		a.balance -= float64(cost)
		return 0, true
	}
	return a.comeBack(limit, cost), false
}

// Settle replaces the cost of a request, once its true one is known.
func (a *Account) Settle(estimate, actual foxtailstack.Tokens) {
	a.balance -= float64(actual - estimate)
}

// NextRequest returns what to ask the owner for, if anything. Granted or Lost must
// follow.
func (a *Account) NextRequest(now time.Time, limit Limit) (GrantRequest, bool) {
	a.advance(now, limit)
	if a.asking || now.Before(a.next) || a.balance >= a.demand*refill.Seconds() && a.balance >= 0 {
		return GrantRequest{}, false
	}
	a.asking = true
	a.open = GrantRequest{
		Wanted: foxtailstack.Tokens(math.Ceil(a.demand*horizon.Seconds() - max(a.balance, 0))),
		Debt:   foxtailstack.Tokens(max(-a.balance, 0)),
	}
	return a.open, true
}

// ApplyGrant takes the owner's answer to the ask under way.
func (a *Account) ApplyGrant(now time.Time, grant Grant) {
	a.asking = false
	a.alone = false
	a.balance += float64(a.open.Debt + grant.Tokens)
	a.expires = now.Add(validity)
	a.next = now
	if grant.Tokens < a.open.Wanted {
		a.next = now.Add(max(grant.RetryAfter, minPause))
		a.blocked = now.Add(max(grant.RepayTime, validity))
	}
}

// OwnerUnreachable notes that the owner could not be reached. Until it can, the entry
// spends its share of the limit.
func (a *Account) OwnerUnreachable(now time.Time) {
	a.asking = false
	a.alone = true
	a.next = now.Add(lostPause)
}

// Idle reports whether nothing would be lost by forgetting the account.
func (a *Account) Idle(now time.Time) bool {
	return !a.asking && a.balance >= 0 && now.After(a.expires) && now.Sub(a.at) > validity
}

// advance brings demand and balance up to now.
func (a *Account) advance(now time.Time, limit Limit) {
	passed := now.Sub(a.at)
	if a.at.IsZero() {
		passed = 0
	}
	a.at = now
	a.demand *= math.Exp(-passed.Seconds() / smoothing.Seconds())
	if a.alone {
		earned := limit.share() * passed.Seconds()
		a.balance = min(a.balance+earned, max(a.balance, limit.share()*horizon.Seconds()))
		return
	}
	if now.After(a.expires) {
		a.balance = min(a.balance, 0)
	}
}

// mayAdvance reports whether the entry may spend before its batch arrives: at
// most one second's share, and the request that goes beyond it. It may not while
// the last grant says that the team is at its limit.
func (a *Account) mayAdvance(now time.Time, limit Limit) bool {
	return !a.alone && !now.Before(a.blocked) && a.balance > -limit.share()*horizon.Seconds()
}

// comeBack returns when a refused caller may come back. The returns are spread
// over the time in which the entry would earn what the callers want.
func (a *Account) comeBack(limit Limit, cost foxtailstack.Tokens) time.Duration {
	draw := rand.Float64
	if a.Rand != nil {
		draw = a.Rand.Float64
	}
	missing := float64(cost) - a.balance + a.demand*horizon.Seconds()
	base := max(missing/max(limit.share(), 1), minReturn.Seconds())
	base = min(base, maxReturn.Seconds())
	return time.Duration((0.5 + draw()) * base * float64(time.Second))
}
