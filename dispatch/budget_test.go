package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
)

// The retries of all entries together must stay within the ratio and the slack in
// any window. Here each request of one of five entries wants a retry: it must be
// granted no more than the ratio and a fifth of the slack, and not much less.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &dispatch.RetryBudget{
			Ratio:  0.2,
			Window: 10 * time.Second,
			Slack:  94,
			LoadShare: func() float64 {
				return 1.0 / 5
			},
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
			t.Errorf("%d retries for 1000 requests, want at least 150", retries)
		}
		time.Sleep(11 * time.Second)
		if !budget.AllowRetry(service) {
			t.Error("no retry was allowed after a window without requests")
		}
	})
}

// BenchmarkScheduler measures Acquire and Release among the ranks of a large group.
func BenchmarkScheduler(b *testing.B) {
	scheduler := newScheduler(63, 10)
	request := dispatch.Request{
		Service: service,
		Grouped: true,
	}
	for b.Loop() {
		reservation, err := scheduler.Acquire(b.Context(), request)
		if err != nil {
			b.Fatalf("Acquire: %v", err)
		}
		reservation.Release(dispatch.Report{Outcome: dispatch.Answered})
	}
}
