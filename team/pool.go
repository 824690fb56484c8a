package team

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// burst is the time for which a pool gathers unspent tokens.
	burst = time.Second
	// opening is the time whose tokens a new pool holds. It is short, since an
	// owner that takes over does not know what the former one granted.
	opening = burst / 4
	// maxDebt is the time whose tokens a pool may owe.
	maxDebt = 10 * time.Minute
	// holding is the time for which an entry that asked counts as a holder.
	holding = 2 * time.Second
)

// Pool is the limit of one team at the entry that owns the team. It reads no
// clock: the caller passes the present time. The zero value is ready for use. A
// Pool is not safe for concurrent use.
type Pool struct {
	// Rand spreads the asks of holders; nil means the global source.
	Rand *rand.Rand

	balance float64
	at      time.Time
	holders map[foxtailstack.InstanceName]time.Time
}

// Grant answers an ask under a limit in tokens a second. What is owed is taken
// in any case; what is wanted is given as far as it is there, at most half of it
// to one of several holders.
func (p *Pool) Grant(now time.Time, rate foxtailstack.Tokens, ask GrantRequest) Grant {
	p.advance(now, float64(rate))
	p.hold(now, ask.Entry)
	p.balance = max(p.balance-float64(ask.Debt), -maxDebt.Seconds()*float64(rate))
	available := max(p.balance, 0)
	if len(p.holders) > 1 {
		available /= 2
	}
	given := min(foxtailstack.Tokens(available), ask.Wanted)
	p.balance -= float64(given)
	if given == ask.Wanted {
		return Grant{Tokens: given}
	}
	return Grant{
		Tokens:     given,
		RetryAfter: p.pause(float64(rate), float64(ask.Wanted-given)),
		RepayTime:  time.Duration(max(-p.balance, 0) / float64(rate) * float64(time.Second)),
	}
}

// Idle reports whether nothing would be lost by forgetting the pool.
func (p *Pool) Idle(now time.Time) bool {
	return now.Sub(p.at) > maxDebt+burst
}

// advance adds the tokens earned until now.
func (p *Pool) advance(now time.Time, rate float64) {
	if p.at.IsZero() {
		p.balance = rate * opening.Seconds()
	} else {
		p.balance = min(p.balance+rate*now.Sub(p.at).Seconds(), rate*burst.Seconds())
	}
	p.at = now
}

// hold counts who holds tokens of the team.
func (p *Pool) hold(now time.Time, holder foxtailstack.InstanceName) {
	if p.holders == nil {
		p.holders = map[foxtailstack.InstanceName]time.Time{}
	}
	p.holders[holder] = now
	for name, at := range p.holders {
		if now.Sub(at) > holding {
			delete(p.holders, name)
		}
	}
}

// pause returns when a holder that wants more tokens should ask again.
func (p *Pool) pause(rate, missing float64) time.Duration {
	draw := rand.Float64
	if p.Rand != nil {
		draw = p.Rand.Float64
	}
	seconds := (missing - min(p.balance, 0)) * float64(len(p.holders)) / rate
	pause := time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	return max(pause, minPause)/2 + time.Duration(draw()*float64(max(pause, minPause)))
}
