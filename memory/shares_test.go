package memory

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against one party that takes the whole account, and against bytes that stay taken.
func TestSharesBoundEachParty(t *testing.T) {
	shares := &Shares{
		Account: &Account{Bound: 100},
		Bound:   60,
	}
	first, second := shares.Holding("a"), shares.Holding("a")
	other, third := shares.Holding("b"), shares.Holding("c")
	var got []bool
	for _, take := range []struct {
		holding *Holding
		bytes   int
	}{
		{
			holding: first,
			bytes:   40,
		},
		{
			holding: second,
			bytes:   30, // the party would have 70
		},
		{
			holding: other,
			bytes:   50,
		},
		{
			holding: third,
			bytes:   20, // all would have 110
		},
	} {
		got = append(got, take.holding.Take(take.bytes))
	}
	if diff := cmp.Diff([]bool{true, false, true, false}, got); diff != "" {
		t.Errorf("bytes that were taken (-want +got):\n%s", diff)
	}
	for _, h := range []*Holding{first, second, other, third} {
		h.Release()
	}
	if diff := cmp.Diff([]int{0, 0}, []int{int(shares.Account.Held()), len(shares.parties)}); diff != "" {
		t.Errorf("bytes held and parties known at the end (-want +got):\n%s", diff)
	}
}
