package balance

import "time"

// probeRate and probeBurst bound the probes of an entry, a second and at once.
const (
	probeRate  = 24
	probeBurst = 48
)

// ProbeBudget bounds the probes of an entry. The zero value is a full one. It is not
// safe for concurrent use.
type ProbeBudget struct {
	spent float64
	at    time.Time
}

// Spend takes one probe from the budget at now, if it holds one.
func (b *ProbeBudget) Spend(now time.Time) bool {
	b.spent = max(0, b.spent-probeRate*now.Sub(b.at).Seconds())
	b.at = now
	if b.spent+1 > probeBurst {
		return false
	}
	b.spent++
	return true
}
