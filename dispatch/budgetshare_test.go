package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
)

const (
	budgetRatio  = 0.2
	budgetSlack  = 94
	budgetWindow = 10 * time.Second
)

// budgetEntries is a set of entries that each hold a budget of their own.
type budgetEntries []*dispatch.RetryBudget

// newBudgetEntries returns n entries that get an equal part of the requests each.
func newBudgetEntries(n int) budgetEntries {
	var entries budgetEntries
	for range n {
		entries = append(entries, newEntryBudget(n))
	}
	return entries
}

// newEntryBudget returns the budget of an entry that has just started.
func newEntryBudget(entries int) *dispatch.RetryBudget {
	return &dispatch.RetryBudget{
		Ratio:     budgetRatio,
		Window:    budgetWindow,
		Slack:     budgetSlack,
		Started:   time.Now(),
		LoadShare: func() float64 { return 1 / float64(entries) },
	}
}

// retries sends requests to the entries in turn for a time, at a rate in a window, of
// which each wants a retry. It returns the number of retries that were granted.
func (b budgetEntries) retries(rate int, duration time.Duration) int {
	granted := 0
	interval := budgetWindow / time.Duration(rate)
	for i := range int(duration / interval) {
		entry := b[i%len(b)]
		entry.CountRequest(service)
		if entry.AllowRetry(service) {
			granted++
		}
		time.Sleep(interval)
	}
	return granted
}

// Guards against retries that add up over the entries to more than the budget of a
// service, when there are many entries or when they start anew.
func TestBudgetsOfEntriesAddUp(t *testing.T) {
	for _, n := range []int{1, 5, 12, 24} {
		for _, requests := range []int{80, 300, 2500} {
			t.Run(fmt.Sprintf("%d entries, %d requests", n, requests), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					entries := newBudgetEntries(n)
					time.Sleep(budgetWindow)
					limit := budgetRatio*float64(requests) + budgetSlack
					got := entries.retries(requests, budgetWindow)
					if float64(got) > limit {
						t.Errorf("%d retries for %d requests, want at most %v", got, requests, limit)
					}
					if float64(got) < limit/2 {
						t.Errorf("%d retries for %d requests, want at least half of %v", got, requests, limit)
					}
					got = entries.retries(requests, budgetWindow/2)
					for i := range entries {
						entries[i] = newEntryBudget(n)
					}
					got += entries.retries(requests, budgetWindow/2)
					if float64(got) > limit {
						t.Errorf("%d retries in a window with a new start of all entries, want at most %v", got, limit)
					}
				})
			})
		}
	}
}
