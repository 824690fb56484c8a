package entry

import (
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
)

const (
	// defaultRetryRatio is the ratio of retries to successes if the policy sets
	// none.
	defaultRetryRatio = 0.1
	// minRetries is the number of retries that are always allowed in the current
	// and the previous window together.
	minRetries = 5
	// budgetWindow is the length of a counting window. Successes and retries
	// count for at least one window and for less than three: a window ends only when
	// the budget is used, at most two lengths after its start, and counts as the
	// previous window for one length after that.
	budgetWindow = 10 * time.Second
	// evictionThreshold is the number of budgets from which unused ones are
	// evicted. There may be more if all are in use.
	evictionThreshold = 1 << 14
)

// retryBudgetKey identifies the team and service that share a retry budget.
type retryBudgetKey struct {
	team    foxtailstack.TeamName
	service fleet.ServiceID
}

// windowCounts holds the numbers of successes and retries in one window.
type windowCounts struct {
	successes int
	retries   int
}

// retryBudget counts in the current and the previous window.
type retryBudget struct {
	windowStart       time.Time
	current, previous windowCounts
}

// retryBudgets limits the retries of each team and service to a fraction of their
// recent successes, so that retries cannot multiply the load of a failing service.
// The zero value is ready for use.
type retryBudgets struct {
	mu    sync.Mutex
	byKey map[retryBudgetKey]*retryBudget
}

// countSuccess counts a successful attempt.
func (b *retryBudgets) countSuccess(key retryBudgetKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetFor(key).current.successes++
}

// allowRetry reports whether the budget allows one more retry, and if so counts
// it. A ratio of zero means defaultRetryRatio.
func (b *retryBudgets) allowRetry(key retryBudgetKey, ratio float64) bool {
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgetFor(key)
	successes := budget.current.successes + budget.previous.successes
	retries := budget.current.retries + budget.previous.retries
	if float64(retries) >= minRetries+ratio*float64(successes) {
		return false
	}
	budget.current.retries++
	return true
}

// budgetFor returns the budget of a key, advanced to the current window. The
// caller holds b.mu.
func (b *retryBudgets) budgetFor(key retryBudgetKey) *retryBudget {
	if b.byKey == nil {
		b.byKey = map[retryBudgetKey]*retryBudget{}
	}
	now := time.Now()
	budget, ok := b.byKey[key]
	if !ok {
		b.evictUnused(now)
		budget = &retryBudget{windowStart: now}
		b.byKey[key] = budget
	}
	age := now.Sub(budget.windowStart)
	if age < budgetWindow {
		return budget
	}
	budget.previous = budget.current
	if age >= 2*budgetWindow {
		budget.previous = windowCounts{}
	}
	budget.current = windowCounts{}
	budget.windowStart = now
	return budget
}

// evictUnused removes budgets whose current window began two or more window lengths
// ago, once there are evictionThreshold. They have not been used for at least one
// window length, and their counts no longer matter. The caller holds b.mu.
func (b *retryBudgets) evictUnused(now time.Time) {
	if len(b.byKey) < evictionThreshold {
		return
	}
	for key, budget := range b.byKey {
		if now.Sub(budget.windowStart) >= 2*budgetWindow {
			delete(b.byKey, key)
		}
	}
}
