package measure

import "time"

// Numbers of the budget of retries that an entry keeps for each team and service.
const (
	budgetFloor  = 5
	budgetShare  = 0.1
	budgetWindow = 10 * time.Second
)

// retryTally counts in one window.
type retryTally struct {
	successes int
	retries   int
}

// retryBudget follows the rule of an entry in virtual time: retries are bounded
// by a floor and a share of the successes, in the present and the past window.
type retryBudget struct {
	began         time.Time
	present, past retryTally
}

// success counts a success.
func (b *retryBudget) success(now time.Time) {
	b.advance(now)
	b.present.successes++
}

// take spends a retry and reports whether the budget has one.
func (b *retryBudget) take(now time.Time) bool {
	b.advance(now)
	successes := b.present.successes + b.past.successes
	retries := b.present.retries + b.past.retries
	if float64(retries) >= budgetFloor+budgetShare*float64(successes) {
		return false
	}
	b.present.retries++
	return true
}

// advance begins a new window if the present one is over.
func (b *retryBudget) advance(now time.Time) {
	age := now.Sub(b.began)
	if age < budgetWindow {
		return
	}
	b.past = b.present
	if age >= 2*budgetWindow {
		b.past = retryTally{}
	}
	b.present = retryTally{}
	b.began = now
}
