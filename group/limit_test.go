package group

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against limits of ranks that get lost on the way from the planner to the entries,
// or that are taken for those of other ranks.
func TestStatusCarriesLimits(t *testing.T) {
	want := []RankStatus{
		{
			Address:  "a",
			Slowdown: 1,
		},
		{
			Address:  "b",
			Slowdown: 1,
			Limit:    1.1,
		},
		{
			Address:  "c",
			Slowdown: 1,
		},
	}
	message := NewStatusMessage(&Status{Ranks: want})
	got, ok := message.status(message.Addresses)
	if !ok {
		t.Fatal("message does not fit its own table of ranks")
	}
	if diff := cmp.Diff(want, got.Ranks); diff != "" {
		t.Errorf("ranks (-want +got):\n%s", diff)
	}
	message.Limits[0].Index = len(want)
	_, ok = message.status(message.Addresses)
	if ok {
		t.Error("a limit of a rank outside the table was accepted")
	}
}
