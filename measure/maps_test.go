package measure

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The planner brings every set of the users' groups under the skew that they ask
// for with one map after each shift.
func TestMapsFollowShifts(t *testing.T) {
	fixed := func() time.Time { return time.Time{} }
	got := runMaps(1, mapsSizes[0], fixed).String()
	const want = "experiment=maps ranks=12 experts=72 sets=4 shifts=12 before=1.969 first=1.079 after=1.079 " +
		"worst=1.1 uneven_share=0 maps=1 copies=30.58 plan_ms=0"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	again := runMaps(1, mapsSizes[0], fixed).String()
	if got != again {
		t.Errorf("a second run gives %s", again)
	}
}
