package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a request that is free for as long as it is served now and then, whatever
// it crashes: as many crashes are left out as it was served before, and each of them once.
func TestServedDiscountsAsManyCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l List
		key := Fingerprint{1}
		for range 3 {
			l.Served(Subject{Request: key})
		}
		var counted []int
		for i := range 5 {
			crash := crashOf(1, CrashID(fmt.Sprintf("w%d@1", i)))
			l.Add(crash) // two entries may find the same crash
			counted = append(counted, l.Add(crash))
		}
		want := []int{0, 0, 0, 0, 0} // known already, or left out
		if diff := cmp.Diff(want, counted); diff != "" {
			t.Errorf("second reports of crashes (-want +got):\n%s", diff)
		}
		if got := len(l.All()); got != 2 {
			t.Errorf("%d crashes count, want 2", got)
		}
		if !l.Quarantined(key) {
			t.Error("request is not in quarantine after 5 crashes and 3 answers")
		}
	})
}

// Guards against a request that is refused because several of its upstreams ended together
// while it was served everywhere, and against answers of long ago that count for ever.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l List
		key := Fingerprint{1}
		for range 2 * maxCredit {
			l.Served(Subject{Request: key})
		}
		for i := range maxCredit {
			l.Add(crashOf(1, CrashID(fmt.Sprintf("w%d@1", i))))
		}
		if l.Quarantined(key) {
			t.Errorf("request is in quarantine after %d crashes beside answers", maxCredit)
		}
		l.Served(Subject{Request: key})
		time.Sleep(servedTTL + time.Second)
		l.Add(crashOf(1, "v@1"))
		l.Add(crashOf(1, "v@2"))
		if !l.Quarantined(key) {
			t.Error("request is not in quarantine after two crashes long after its last answer")
		}
	})
}
