package balance

import "time"

// probeRate is the number of probes per second that an entry may send on
// average, and probeBurst the number that it may send at once.
const (
	probeRate  = 24
	probeBurst = 48
)

// ProbeBudget limits the probes of an entry with a token bucket. The zero value
// is a full bucket. It is not safe for concurrent use.
type ProbeBudget struct {
	used    float64
	updated time.Time
}

// Spend takes one token at the time now. It returns false if the bucket is empty.
func (b *ProbeBudget) Spend(now time.Time) bool {
	b.used = max(0, b.used-probeRate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.used+1 > probeBurst {
		return false
	}
	b.used++
	return true
}
