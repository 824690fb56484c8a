package team

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRetries(t *testing.T) {
	tests := []struct {
		name      string
		share     float64
		successes int
		want      int
	}{
		{
			name:      "nothing has succeeded",
			share:     0,
			successes: 0,
			want:      1,
		},
		{
			name:      "fewer successes than a retry costs",
			share:     0,
			successes: 9,
			want:      1,
		},
		{
			name:      "ten in a hundred",
			share:     0,
			successes: 45,
			want:      5,
		},
		{
			name:      "half",
			share:     0.5,
			successes: 9,
			want:      5,
		},
		{
			name:      "never more than the highest",
			share:     0,
			successes: 100000,
			want:      maxRetries,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := Retries{Share: test.share}
			for range test.successes {
				r.Succeeded()
			}
			got := 0
			for r.Spend() {
				got++
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
