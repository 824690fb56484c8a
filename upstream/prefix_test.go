package upstream

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRecentPrefixesEvictsOldest(t *testing.T) {
	var r RecentPrefixes
	prefix := func(n int) Prefix { return PrefixOf(fmt.Append(nil, "prefix ", n)) }
	for n := range maxRecentPrefixes {
		r.Add(prefix(n))
	}
	r.Add(prefix(0)) // makes prefix 1 the least recently added
	r.Add(prefix(maxRecentPrefixes))
	got := map[int]bool{}
	for n := range maxRecentPrefixes + 1 {
		if r.Set().Has(prefix(n)) {
			got[n] = true
		}
	}
	want := map[int]bool{}
	for n := range maxRecentPrefixes + 1 {
		want[n] = n != 1
	}
	delete(want, 1) // got has no keys of evicted prefixes
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("prefixes in the set (-want +got):\n%s", diff)
	}
}
