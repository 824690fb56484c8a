package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// electionRow is an election whose row has a version that others have written.
type electionRow struct {
	version foxtailstack.StoreVersion
	claims  int
}

func (e *electionRow) Holder(context.Context, string) ([]byte, foxtailstack.StoreVersion, error) {
	return nil, e.version, nil
}

func (e *electionRow) Claim(_ context.Context, _ string, expect foxtailstack.StoreVersion, _ []byte) (foxtailstack.StoreVersion, error) {
	e.claims++
	e.version = expect + 1
	return e.version, nil
}

// Guards against a second sidecar that takes over from one that has just done so: the group
// stays held until the second one has asked all ranks again.
func TestSidecarLetsSuccessorBegin(t *testing.T) {
	tests := map[string]struct {
		// heard is the token of the planner that the sidecar has heard.
		heard foxtailstack.FencingToken
		wait  time.Duration
		want  int
	}{
		"another has just taken over": {
			heard: 5,
		},
		"another took over and said nothing": {
			heard: 5,
			wait:  switchingPlannerTimeout,
			want:  1,
		},
		"none has taken over": {
			heard: 7,
			want:  1,
		},
		"no planner was heard since the start": {
			want: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				row := &electionRow{version: 7}
				sidecar := &Sidecar{
					planner:   PlannerInfo{Fence: test.heard},
					lastHeard: time.Now(),
				}
				time.Sleep(plannerTimeout)
				c := &Candidate{
					Sidecar:  sidecar,
					Election: row,
				}
				_, _ = c.claim(t.Context(), "g")
				if test.wait > 0 {
					time.Sleep(test.wait)
					_, _ = c.claim(t.Context(), "g")
				}
				if row.claims != test.want {
					t.Errorf("got %d claims, want %d", row.claims, test.want)
				}
			})
		})
	}
}
