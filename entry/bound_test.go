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
		share     float64
		wait      time.Duration
		want      int
	}{
		{
			name:      "floor",
			successes: 0,
			share:     0,
			wait:      0,
			want:      budgetFloor,
		},
		{
			name:      "default share",
			successes: 100,
			share:     0,
			wait:      0,
			want:      budgetFloor + 10,
		},
		{
			name:      "share of the policy",
			successes: 100,
			share:     0.5,
			wait:      0,
			want:      budgetFloor + 50,
		},
		{
			name:      "past window",
			successes: 100,
			share:     0,
			wait:      budgetWindow,
			want:      budgetFloor + 10,
		},
		{
			name:      "forgotten",
			successes: 100,
			share:     0,
			wait:      2 * budgetWindow,
			want:      budgetFloor,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b budgets
				for range test.successes {
					b.success(budgetKey{})
				}
				time.Sleep(test.wait)
				got := 0
				for b.take(budgetKey{}, test.share) {
					got++
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("retries (-want +got):\n%s", diff)
				}
				if !b.take(budgetKey{team: "other"}, 0) {
					t.Error("another team has no budget")
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
		{name: "clear"},
		{
			name:    "one crash",
			crashes: []Crash{crash(1)},
			suspect: true,
		},
		{
			name:    "one crash, told twice",
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
			name:    "before the end",
			crashes: []Crash{crash(1), crash(2)},
			wait:    quarantineTime - 1,
			refused: true,
		},
		{
			name:    "forgotten",
			crashes: []Crash{crash(1), crash(2)},
			wait:    quarantineTime,
		},
		{
			name:    "two connections lost",
			crashes: []Crash{lost(1), lost(2)},
			refused: true,
		},
		{
			name:    "two connections lost, forgotten",
			crashes: []Crash{lost(1), lost(2)},
			wait:    lostTime,
		},
		{
			name:    "a crash and a connection lost, forgotten",
			crashes: []Crash{crash(1), lost(2)},
			wait:    lostTime,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var q quarantine
				for _, c := range test.crashes {
					q.crash(c)
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

// Equal requests run one at a time once one of them was running at a crash, and
// a request without its turn is refused long before its deadline.
func TestSuspectsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var q quarantine
		q.crash(Crash{})
		first, err := q.admit(t.Context(), Fingerprint{})
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = q.admit(ctx, Fingerprint{})
		if err == nil || time.Since(began) != maxTurn {
			t.Errorf("got error %v after %s, expected one after %s", err, time.Since(began), maxTurn)
		}
		time.AfterFunc(time.Second, first.leave)
		second, err := q.admit(ctx, Fingerprint{})
		if err != nil || !second.suspect {
			t.Errorf("got suspect %t and error %v, expected a turn", second.suspect, err)
		}
	})
}
