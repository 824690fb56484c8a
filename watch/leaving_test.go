package watch_test

import (
	"fmt"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"github.com/foxtailstack/foxtailstack/watch"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// leavingStep is one thing that a View learns about upstream u.
type leavingStep struct {
	// row is the state and the start in the row of the upstream, such as "ready 1".
	// Empty means that the row is gone, unless says is set.
	row string
	// says is the start of an upstream that says in an answer that it leaves.
	says int64
	// ready reports whether the upstream counts as ready afterwards.
	ready bool
}

// decodeState decodes the value of a row for leavingStep.
func decodeState(name string, data []byte) (route.Upstream, error) {
	var state string
	u := route.Upstream{
		Name:    foxtailstack.UpstreamName(name),
		Service: "s",
	}
	_, err := fmt.Sscan(string(data), &state, &u.StartUnixMilli)
	u.Draining = state == "draining"
	return u, err
}

// Guards against an upstream that leaves and is in use again: because the row of before is
// still there or arrives late, because it is back after the store was away, or because the
// whole table is read again. Guards as well against a new start that is never used.
func TestLeavingUpstreamStaysAway(t *testing.T) {
	tests := map[string][]leavingStep{
		"says that it leaves": {
			{
				row:   "ready 1",
				ready: true,
			},
			{says: 1},
			{row: "ready 1"},
			{row: ""},
			{row: "ready 1"},
		},
		"its row says so, then an older row comes": {
			{
				row:   "ready 1",
				ready: true,
			},
			{row: "draining 1"},
			{row: "ready 1"},
		},
		"starts anew": {
			{
				row:   "ready 1",
				ready: true,
			},
			{says: 1},
			{
				row:   "ready 2",
				ready: true,
			},
			{
				says:  1,
				ready: true,
			},
			{says: 2},
		},
		"announces no start": {
			{
				row:   "ready 0",
				ready: true,
			},
			{says: 0},
		},
	}
	for name, steps := range tests {
		for _, replaces := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, table read again %t", name, replaces), func(t *testing.T) {
				v := &watch.View{
					Decoder: watch.Decoder{Upstream: decodeState},
					Log:     zap.NewNop(),
				}
				var want, got []bool
				for i, step := range steps {
					applyLeavingStep(v, step, i, replaces)
					want = append(want, step.ready)
					got = append(got, len(v.Fleet().Ready("s")) == 1)
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("ready after each step (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// applyLeavingStep lets a View learn what a step says.
func applyLeavingStep(v *watch.View, step leavingStep, i int, replaces bool) {
	if step.row == "" && i > 0 && (step.says > 0 || i == 1) {
		v.MarkLeaving(route.Upstream{
			Name:           "u",
			StartUnixMilli: step.says,
		})
		return
	}
	record := foxtailstack.Record{
		Name:    "u",
		Value:   []byte(step.row),
		Deleted: step.row == "",
	}
	version := foxtailstack.StoreVersion(i + 1)
	switch {
	case replaces && record.Deleted:
		v.ReplaceFleet(nil, version)
	case replaces:
		v.ReplaceFleet([]foxtailstack.Record{record}, version)
	default:
		v.UpdateFleet([]foxtailstack.Record{record}, version)
	}
}
