package group

import (
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
)

// Guards against a pass time that is that between two surveys, or zero, because surveys come
// more often than passes begin: the lead of a switch and the choice of a map follow from it.
func TestPassMeterWithSurveysWithinPasses(t *testing.T) {
	const (
		pass   = 110 * time.Millisecond
		survey = 60 * time.Millisecond
	)
	var meter passMeter
	began := time.Unix(100, 0)
	meter.mean(0, began) // the group is idle for a while
	began = began.Add(time.Minute)
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += survey {
		got := meter.mean(foxtailstack.Step(elapsed/pass), began.Add(elapsed))
		if elapsed > 2*passMeterTime && (got < pass*3/4 || got > pass*5/4) {
			t.Fatalf("mean pass time %s after %s, want about %s", got, elapsed, pass)
		}
	}
	if got := meter.mean(foxtailstack.Step(5*time.Second/pass), began.Add(time.Minute)); got != 0 {
		t.Errorf("mean pass time %s of an idle group, want 0", got)
	}
}

// Guards against maps that are more even than callers notice, whose copies make passes longer
// meanwhile, and against less even ones where passes come near the allowed gap.
func TestTargetImbalanceFollowsExpectedPass(t *testing.T) {
	config := &route.Group{
		TokenStepsPerPass:        5,
		TokenStepTimePerSequence: 1090 * time.Microsecond,
		ExpertShare:              0.85,
		MaxEventGap:              150 * time.Millisecond,
	}
	tests := map[string]struct {
		passTime time.Duration
		running  float64
		want     float64
	}{
		"passes far below the gap": {
			passTime: 60 * time.Millisecond,
			running:  4,
			want:     1.22,
		},
		"long passes that a map makes short": {
			passTime: 130 * time.Millisecond,
			running:  7,
			want:     1.22,
		},
		"passes near the gap under any map": {
			passTime: 140 * time.Millisecond,
			running:  2,
			want:     minTargetImbalance,
		},
		"no pass measured": {
			running: 4,
			want:    minTargetImbalance,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := newPassModel(config, test.passTime, test.running, 2.5).targetImbalance(config)
			if got != test.want {
				t.Errorf("target imbalance %v, want %v", got, test.want)
			}
		})
	}
}
