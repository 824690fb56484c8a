package team

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// burst is the capacity of a pool, as the time in which it is earned.
	burst = time.Second
	// initialFill is the balance of a new pool, as the time in which it is earned. It
	// is short because a new owner does not know what the previous owner granted.
	initialFill = burst / 4
	// maxDebt is the largest debt of a pool, as the time in which it is earned.
	maxDebt = 10 * time.Minute
	// entryTTL is the time after its last request for which an entry counts as
	// active.
	entryTTL = 2 * time.Second
)

// Pool is the token bucket of one team at the entry that owns the team. It reads
// no clock: the caller passes the current time. The zero value is ready for use. A
// Pool is not safe for concurrent use.
type Pool struct {
	// Rand randomizes the times of the entries' next requests; nil means the global
	// source.
	Rand *rand.Rand

	// balance is the number of tokens available; a negative balance is a debt.
	balance float64
	// at is the time of the last update of balance.
	at time.Time
	// activeEntries holds the time of the last request of each active entry.
	activeEntries map[foxtailstack.InstanceName]time.Time
}

// Grant answers a request under a rate limit in tokens per second. The reported
// debt is always deducted, as far as maxDebt allows. The wanted tokens are granted
// as far as available; if several entries are active, one grant takes at most half
// of the balance.
func (p *Pool) Grant(now time.Time, rate foxtailstack.Tokens, request GrantRequest) Grant {
	p.update(now, float64(rate))
	p.recordRequest(now, request.Entry)
	p.balance = max(p.balance-float64(request.Debt), -maxDebt.Seconds()*float64(rate))
	available := max(p.balance, 0)
	if len(p.activeEntries) > 1 {
		available /= 2
	}
	given := min(foxtailstack.Tokens(available), request.Wanted)
	p.balance -= float64(given)
	if given == request.Wanted {
		return Grant{Tokens: given}
	}
	return Grant{
		Tokens:           given,
		NextRequestAfter: p.requestDelay(float64(rate), float64(request.Wanted-given)),
		RepayTime:        time.Duration(max(-p.balance, 0) / float64(rate) * float64(time.Second)),
	}
}

// Idle reports whether the pool can be removed: after maxDebt+burst without a
// request any debt is repaid and the pool is full.
func (p *Pool) Idle(now time.Time) bool {
	return now.Sub(p.at) > maxDebt+burst
}

// update adds the tokens earned until now.
func (p *Pool) update(now time.Time, rate float64) {
	if p.at.IsZero() {
		p.balance = rate * initialFill.Seconds()
	} else {
		p.balance = min(p.balance+rate*now.Sub(p.at).Seconds(), rate*burst.Seconds())
	}
	p.at = now
}

// recordRequest records the time of an entry's request and removes entries that
// are no longer active.
func (p *Pool) recordRequest(now time.Time, entry foxtailstack.InstanceName) {
	if p.activeEntries == nil {
		p.activeEntries = map[foxtailstack.InstanceName]time.Time{}
	}
	p.activeEntries[entry] = now
	for name, at := range p.activeEntries {
		if now.Sub(at) > entryTTL {
			delete(p.activeEntries, name)
		}
	}
}

// requestDelay returns the time after which an entry that received fewer tokens
// than it wanted should send its next request. Its mean is the time in which the
// pool earns its debt and the unmet tokens, multiplied by the number of active
// entries because they share the rate. The mean is bounded by minRequestDelay and
// maxRequestDelay; the result is drawn from 0.5 to 1.5 of it.
func (p *Pool) requestDelay(rate, unmet float64) time.Duration {
	draw := rand.Float64
	if p.Rand != nil {
		draw = p.Rand.Float64
	}
	seconds := (unmet - min(p.balance, 0)) * float64(len(p.activeEntries)) / rate
	delay := time.Duration(min(seconds, maxRequestDelay.Seconds()) * float64(time.Second))
	return max(delay, minRequestDelay)/2 + time.Duration(draw()*float64(max(delay, minRequestDelay)))
}
