package measure

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// valueOf returns the value of a key in a line.
func valueOf(t *testing.T, line Line, key string) float64 {
	t.Helper()
	for _, field := range line {
		if value, ok := field.Value.(float64); ok && field.Key == key {
			return value
		}
	}
	t.Fatalf("no number %q in %s", key, line)
	return 0
}

func TestOverload(t *testing.T) {
	ours := runOverload(1, "ours", 2)
	if diff := cmp.Diff(ours.String(), runOverload(1, "ours", 2).String()); diff != "" {
		t.Error(diff)
	}
	if goodput := valueOf(t, ours, "goodput"); goodput < 0.95 {
		t.Errorf("goodput %.3f of the capacity, expected 0.95 or more", goodput)
	}
	if small := valueOf(t, ours, "small"); small < 0.9 {
		t.Errorf("%.3f of the small team's calls answered in time, expected 0.9 or more", small)
	}
	if fifo := runOverload(1, "fifo", 2); valueOf(t, fifo, "goodput") >= valueOf(t, ours, "goodput") {
		t.Errorf("a queue without a bound does better: %s", fifo)
	}
}

// Whatever fails, a team gets less than its limit twice over, and the burst
// with which a pool begins.
func TestTeamLimits(t *testing.T) {
	for policy, most := range map[string]float64{
		"limit":           0.1,
		"limit-ownerdies": 0.4,
		"limit-cutoff":    0.6,
		"limit-twoowners": 1.1,
	} {
		if got := valueOf(t, runLimits(1, policy, 5), "overshoot"); got > most {
			t.Errorf("%s: overshoot %.3f, expected at most %.2f", policy, got, most)
		}
	}
}
