package upstream

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRecentKeepsTheLatest(t *testing.T) {
	var r RecentPrefixes
	prefix := func(n int) Prefix { return PrefixOf(fmt.Append(nil, "prefix ", n)) }
	for n := range recentPrefixes {
		r.Add(prefix(n))
	}
	r.Add(prefix(0)) // used again, so that 1 is the oldest
	r.Add(prefix(recentPrefixes))
	got := map[int]bool{}
	for n := range recentPrefixes + 1 {
		if r.Set().Has(prefix(n)) {
			got[n] = true
		}
	}
	want := map[int]bool{}
	for n := range recentPrefixes + 1 {
		want[n] = n != 1
	}
	delete(want, 1)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
