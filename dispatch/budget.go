package dispatch

import (
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// budgetParts is the number of parts that a budget's window is counted in.
	budgetParts = 10
	// budgetMargin is the part of the allowed retries that is used, since the
	// window slides and other processes count for themselves.
	budgetMargin = 0.85
	// assumedEntries is the number of processes that share the slack, taken
	// high because a process does not know how many there are.
	assumedEntries = 8
)

// RetryBudget bounds the retries of each service over a sliding window. It must not
// be copied after first use.
type RetryBudget struct {
	// Ratio is the share of a service's requests that may be retries.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Slack is the number of retries in a window that all processes together
	// may make beyond the share.
	Slack int

	mu   sync.Mutex
	rows map[foxtailstack.ServiceName]*tally
}

// tally counts the requests and retries of one service in parts of a window.
type tally struct {
	began    int64
	requests [budgetParts]int
	retries  [budgetParts]int
}

// CountRequest counts a request for a service.
func (b *RetryBudget) CountRequest(service foxtailstack.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row, part := b.row(service)
	row.requests[part]++
}

// AllowRetry spends a retry and reports whether the budget has one.
func (b *RetryBudget) AllowRetry(service foxtailstack.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	row, part := b.row(service)
	allowed := b.Ratio*float64(sum(row.requests)) + float64(b.Slack)/assumedEntries
	if float64(sum(row.retries)+1) > budgetMargin*allowed {
		return false
	}
	row.retries[part]++
	return true
}

// row returns the tally of a service and the present part of the window. The
// caller holds mu.
func (b *RetryBudget) row(service foxtailstack.ServiceName) (*tally, int) {
	if b.rows == nil {
		b.rows = make(map[foxtailstack.ServiceName]*tally)
	}
	row, ok := b.rows[service]
	if !ok {
		row = &tally{}
		b.rows[service] = row
	}
	length := max(b.Window, time.Second) / budgetParts
	now := time.Now().UnixNano() / int64(length)
	if now-row.began >= budgetParts {
		*row = tally{began: now}
	}
	for row.began < now {
		row.began++
		row.requests[row.began%budgetParts] = 0
		row.retries[row.began%budgetParts] = 0
	}
	return row, int(now % budgetParts)
}

// sum returns the sum of the parts.
func sum(parts [budgetParts]int) int {
	total := 0
	for _, n := range parts {
		total += n
	}
	return total
}
