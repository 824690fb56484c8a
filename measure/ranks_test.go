package measure

import (
	"testing"
	"testing/synctest"
	"time"
)

// playRanks runs one policy in virtual time and returns the share of the requests
// that it serves on time, and that of those that it loses.
func playRanks(t *testing.T, policy string, load int) (onTime, lost float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := runRanks(t.Context(), 1, policy, load, 20*time.Second)
		t.Log(r.line(policy, load))
		onTime = float64(r.onTime) / float64(r.asked)
		lost = float64(r.lost) / float64(r.asked)
	})
	return onTime, lost
}

// Pattern: a group whose ranks are nearly full, full, or asked for far more than they
// can serve, with shifts of demand and a slow rank. While there is room the system's
// choice is as good as either yardstick; beyond it serves more on time, and loses no
// more.
func TestRanks(t *testing.T) {
	for _, test := range []struct {
		load int
		// least is how many more are to be served on time, as a share of all.
		least float64
	}{
		{
			load:  80,
			least: -0.02,
		},
		{
			load:  95,
			least: 0.02,
		},
		{
			load:  140,
			least: 0.1,
		},
	} {
		ours, lost := playRanks(t, "ours", test.load)
		for _, policy := range []string{"least", "shortest"} {
			other, otherLost := playRanks(t, policy, test.load)
			if ours < other+test.least {
				t.Errorf("load %d: %.3f are served on time, %.3f by %s", test.load, ours, other, policy)
			}
			if lost > otherLost+0.02 {
				t.Errorf("load %d: %.3f are lost, %.3f by %s", test.load, lost, otherLost, policy)
			}
		}
	}
}
