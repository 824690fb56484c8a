package quarantine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

func TestQuarantine(t *testing.T) {
	crash := func(n byte) Crash {
		return Crash{
			ID:       CrashID(rune('a' + n)),
			Upstream: foxtailstack.UpstreamName(rune('a' + n)),
		}
	}
	lost := func(n byte) Crash {
		c := crash(n)
		c.Inferred = true
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
			wait:    inferredTTL,
		},
		{
			name:    "a crash and a connection lost, expired",
			crashes: []Crash{crash(1), lost(2)},
			wait:    inferredTTL,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l List
				for _, c := range test.crashes {
					l.Add(c)
				}
				if test.clear {
					l.Served(Subject{})
				}
				time.Sleep(test.wait)
				p, err := l.Admit(t.Context(), Subject{})
				if diff := cmp.Diff(test.refused, errors.Is(err, ErrQuarantined)); diff != "" {
					t.Errorf("refused (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(test.suspect, p.Suspect); diff != "" {
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
		var l List
		l.Add(Crash{})
		first, err := l.Admit(t.Context(), Subject{})
		if err != nil {
			t.Fatalf("admit the first suspect: %v", err)
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = l.Admit(ctx, Subject{})
		if err == nil || time.Since(began) != maxTurnWait {
			t.Errorf("got error %v after %s, expected one after %s", err, time.Since(began), maxTurnWait)
		}
		time.AfterFunc(time.Second, first.Release)
		second, err := l.Admit(ctx, Subject{})
		if err != nil || !second.Suspect {
			t.Errorf("got suspect %t and error %v, expected a suspect to be admitted", second.Suspect, err)
		}
	})
}
