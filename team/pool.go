package team

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// burst is the capacity of a pool, as the time in which it is earned.
	burst = time.Second
	// initialFill is the time whose tokens a new pool holds. It is short because a
	// new owner does not know what the previous owner granted.
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

	balance      float64
	at           time.Time
	lastRequests map[foxtailstack.InstanceName]time.Time
}

// Grant answers a request under a rate limit in tokens per second. The reported
// debt is always deducted. The wanted tokens are granted as far as available; if
// several entries are active, one grant takes at most half of the balance.
func (p *Pool) Grant(now time.Time, rate foxtailstack.Tokens, request GrantRequest) Grant {
	p.update(now, float64(rate))
	p.recordRequest(now, request.Entry)
	p.balance = max(p.balance-float64(request.Debt), -maxDebt.Seconds()*float64(rate))
	available := max(p.balance, 0)
	if len(p.lastRequests) > 1 {
		available /= 2
	}
	given := min(foxtailstack.Tokens(available), request.Wanted)
	p.balance -= float64(given)
	if given == request.Wanted {
		return Grant{Tokens: given}
	}
	return Grant{
		Tokens:           given,
		NextRequestAfter: p.retryAfter(float64(rate), float64(request.Wanted-given)),
		RepayTime:        time.Duration(max(-p.balance, 0) / float64(rate) * float64(time.Second)),
	}
}

// Idle reports whether the pool can be removed: any debt is repaid and the pool
// full by then.
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
	if p.lastRequests == nil {
		p.lastRequests = map[foxtailstack.InstanceName]time.Time{}
	}
	p.lastRequests[entry] = now
	for name, at := range p.lastRequests {
		if now.Sub(at) > entryTTL {
			delete(p.lastRequests, name)
		}
	}
}

// retryAfter returns the time after which an entry that received fewer tokens
// than it wanted should send its next request.
func (p *Pool) retryAfter(rate, unmet float64) time.Duration {
	draw := rand.Float64
	if p.Rand != nil {
		draw = p.Rand.Float64
	}
	seconds := (unmet - min(p.balance, 0)) * float64(len(p.lastRequests)) / rate
	pause := time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	return max(pause, minRetryAfter)/2 + time.Duration(draw()*float64(max(pause, minRetryAfter)))
}
