package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
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

func TestQuarantine(t *testing.T) {
	crash := func(n byte) Crash {
		return Crash{
			Attempt:  foxtailstack.AttemptID{n},
			Upstream: foxtailstack.UpstreamName(rune('a' + n)),
		}
	}
	lost := func(n byte) Crash {
		c := crash(n)
		c.ConnectionLost = true
		return c
	}
	tests := []struct {
		name    string
		crashes []Crash
		clear   bool
		wait    time.Duration
		suspect bool
		refused bool
	}{
		{name: "no crash"},
		{
			name:    "one crash",
			crashes: []Crash{crash(1)},
			suspect: true,
		},
		{
			name:    "one crash, reported twice",
			crashes: []Crash{crash(1), crash(1)},
			suspect: true,
		},
		{
			name:    "one crash, then an answer",
			crashes: []Crash{crash(1)},
			clear:   true,
		},
		{
			name:    "two crashes",
			crashes: []Crash{crash(1), crash(2)},
			refused: true,
		},
		{
			name:    "two crashes, then an answer",
			crashes: []Crash{crash(1), crash(2)},
			clear:   true,
			refused: true,
		},
		{
			name:    "before expiry",
			crashes: []Crash{crash(1), crash(2)},
			wait:    crashTTL - 1,
			refused: true,
		},
		{
			name:    "expired",
			crashes: []Crash{crash(1), crash(2)},
			wait:    crashTTL,
		},
		{
			name:    "two connections lost",
			crashes: []Crash{lost(1), lost(2)},
			refused: true,
		},
		{
			name:    "two connections lost, expired",
			crashes: []Crash{lost(1), lost(2)},
			wait:    connectionLossTTL,
		},
		{
			name:    "a crash and a connection lost, expired",
			crashes: []Crash{crash(1), lost(2)},
			wait:    connectionLossTTL,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var q quarantine
				for _, c := range test.crashes {
					q.addCrash(c)
				}
				if test.clear {
					q.clear(Fingerprint{})
				}
				time.Sleep(test.wait)
				p, err := q.admit(t.Context(), Fingerprint{})
				if diff := cmp.Diff(test.refused, errors.Is(err, ErrQuarantined)); diff != "" {
					t.Errorf("refused (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(test.suspect, p.suspect); diff != "" {
					t.Errorf("suspect (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Equal requests run one at a time after an upstream has crashed while it ran one
// of them. A request that waits for another one is refused after maxTurnWait, long
// before its deadline.
func TestSuspectsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var q quarantine
		q.addCrash(Crash{})
		first, err := q.admit(t.Context(), Fingerprint{})
		if err != nil {
			t.Fatalf("admit the first suspect: %v", err)
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = q.admit(ctx, Fingerprint{})
		if err == nil || time.Since(began) != maxTurnWait {
			t.Errorf("got error %v after %s, expected one after %s", err, time.Since(began), maxTurnWait)
		}
		time.AfterFunc(time.Second, first.release)
		second, err := q.admit(ctx, Fingerprint{})
		if err != nil || !second.suspect {
			t.Errorf("got suspect %t and error %v, expected a suspect to be admitted", second.suspect, err)
		}
	})
}
