package group

import (
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

// addresses returns the addresses of members.
func addresses(members []Member) []foxtailstack.Address {
	var all []foxtailstack.Address
	for _, member := range members {
		all = append(all, member.Address())
	}
	return all
}

// A planner asks its own ranks and newcomers, and everybody only when a rank is
// missing, and then not too often.
func TestRosterPick(t *testing.T) {
	const own, other = Name("g0"), Name("g1")
	at := time.Unix(100, 0)
	members := []Member{&Local{Upstream: "a"}, &Local{Upstream: "b"}, &Local{Upstream: "c"}}
	all := addresses(members)
	var r roster
	if diff := cmp.Diff(all, addresses(r.pick(own, members, false, at))); diff != "" {
		t.Errorf("nobody is known (-want +got):\n%s", diff)
	}
	r.learn(members, map[foxtailstack.Address]Name{
		"a": own,
		"b": other,
	})
	want := []foxtailstack.Address{"a", "c"}
	if diff := cmp.Diff(want, addresses(r.pick(own, members, false, at))); diff != "" {
		t.Errorf("one is of another group (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(all, addresses(r.pick(own, members, true, at))); diff != "" {
		t.Errorf("a rank is missing (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, addresses(r.pick(own, members, true, at.Add(rosterPause/2)))); diff != "" {
		t.Errorf("a rank is still missing soon after (-want +got):\n%s", diff)
	}
	r.learn(members[:1], nil)
	if diff := cmp.Diff([]foxtailstack.Address{"a", "b", "c"}, addresses(r.pick(own, members, false, at))); diff != "" {
		t.Errorf("two were off the list meanwhile (-want +got):\n%s", diff)
	}
}
