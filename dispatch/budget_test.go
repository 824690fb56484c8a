package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
)

func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &dispatch.RetryBudget{
			Ratio:  0.2,
			Window: 10 * time.Second,
			Slack:  94,
		}
		retries := 0
		for range 1000 { // 100 a second
			budget.CountRequest(service)
			if budget.AllowRetry(service) {
				retries++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if limit := 0.2*1000 + 94.0/5; float64(retries) > limit {
			t.Errorf("%d retries for 1000 requests, want at most %v", retries, limit)
		}
		if retries < 150 {
			t.Errorf("%d retries for 1000 requests: the budget is hardly used", retries)
		}
		time.Sleep(11 * time.Second)
		if !budget.AllowRetry(service) {
			t.Error("no retry after an idle window")
		}
	})
}

// BenchmarkBoard measures the choice among the ranks of a large group.
func BenchmarkBoard(b *testing.B) {
	board := newBoard(63, 10)
	ask := dispatch.Request{
		Service: service,
		Grouped: true,
	}
	for b.Loop() {
		ticket, err := board.Acquire(b.Context(), ask)
		if err != nil {
			b.Fatal(err)
		}
		ticket.Release(dispatch.Report{Outcome: dispatch.Answered})
	}
}
