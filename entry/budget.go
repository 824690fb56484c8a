package entry

import (
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
)

const (
	// defaultBudget is the share of a policy that names none.
	defaultBudget = 0.1
	// budgetFloor is how many retries a window always allows.
	budgetFloor = 5
	// budgetWindow is how long successes and retries count, at least; they
	// count for at most twice that time.
	budgetWindow = 10 * time.Second
	// maxBudgets bounds the number of budgets kept.
	maxBudgets = 1 << 14
)

// budgetKey tells whose retries a budget bounds.
type budgetKey struct {
	team    foxtailstack.TeamName
	service fleet.ServiceID
}

// tally counts the successes and the retries of one window.
type tally struct {
	successes int
	retries   int
}

// budget counts in a present and a past window.
type budget struct {
	began         time.Time
	present, past tally
}

// budgets bound the retries of each team and service by a share of their recent
// successes, so that retries never multiply the load of a failing service. The
// zero value is ready for use.
type budgets struct {
	mu   sync.Mutex
	rows map[budgetKey]*budget
}

// success counts a success.
func (b *budgets) success(key budgetKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.row(key).present.successes++
}

// take spends a retry and reports whether the budget has one.
func (b *budgets) take(key budgetKey, share float64) bool {
	if share == 0 {
		share = defaultBudget
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row(key)
	successes := row.present.successes + row.past.successes
	retries := row.present.retries + row.past.retries
	if float64(retries) >= budgetFloor+share*float64(successes) {
		return false
	}
	row.present.retries++
	return true
}

// row returns the budget of a key, in its present window. The caller holds b.mu.
func (b *budgets) row(key budgetKey) *budget {
	if b.rows == nil {
		b.rows = map[budgetKey]*budget{}
	}
	now := time.Now()
	row, ok := b.rows[key]
	if !ok {
		b.prune(now)
		row = &budget{began: now}
		b.rows[key] = row
	}
	age := now.Sub(row.began)
	if age < budgetWindow {
		return row
	}
	row.past = row.present
	if age >= 2*budgetWindow {
		row.past = tally{}
	}
	row.present = tally{}
	row.began = now
	return row
}

// prune drops the budgets out of use once there are too many. The caller holds
// b.mu.
func (b *budgets) prune(now time.Time) {
	if len(b.rows) < maxBudgets {
		return
	}
	for key, row := range b.rows {
		if now.Sub(row.began) >= 2*budgetWindow {
			delete(b.rows, key)
		}
	}
}
