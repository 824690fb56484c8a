package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestBudgets(t *testing.T) {
	tests := []struct {
		name      string
		successes int
		ratio     float64
		wait      time.Duration
		want      int
	}{
		{
			name:      "minimum",
			successes: 0,
			ratio:     0,
			wait:      0,
			want:      minRetries,
		},
		{
			name:      "default ratio",
			successes: 100,
			ratio:     0,
			wait:      0,
			want:      minRetries + 10,
		},
		{
			name:      "ratio of the policy",
			successes: 100,
			ratio:     0.5,
			wait:      0,
			want:      minRetries + 50,
		},
		{
			name:      "past window",
			successes: 100,
			ratio:     0,
			wait:      budgetWindow,
			want:      minRetries + 10,
		},
		{
			name:      "expired",
			successes: 100,
			ratio:     0,
			wait:      2 * budgetWindow,
			want:      minRetries,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b retryBudgets
				for range test.successes {
					b.countSuccess(retryBudgetKey{})
				}
				time.Sleep(test.wait)
				got := 0
				for b.allowRetry(retryBudgetKey{}, test.ratio) {
					got++
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("retries (-want +got):\n%s", diff)
				}
				if !b.allowRetry(retryBudgetKey{team: "other"}, 0) {
					t.Error("the budget of another team allows no retry")
				}
			})
		})
	}
}
