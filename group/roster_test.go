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

// A planner asks the ranks of its own group and upstreams whose group is
// unknown. It asks all upstreams only if a rank is missing, and then not more
// often than once in fullSurveyInterval.
func TestRosterPick(t *testing.T) {
	const own, other = Name("g0"), Name("g1")
	now := time.Unix(100, 0)
	members := []Member{&Local{Upstream: "a"}, &Local{Upstream: "b"}, &Local{Upstream: "c"}}
	all := addresses(members)
	var r roster
	if diff := cmp.Diff(all, addresses(r.pick(own, members, false, now))); diff != "" {
		t.Errorf("before any survey (-want +got):\n%s", diff)
	}
	r.update(members, members, map[foxtailstack.Address]Name{
		"a": own,
		"b": other,
	})
	want := []foxtailstack.Address{"a", "c"}
	if diff := cmp.Diff(want, addresses(r.pick(own, members, false, now))); diff != "" {
		t.Errorf("with a member of another group (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(all, addresses(r.pick(own, members, true, now))); diff != "" {
		t.Errorf("with a rank missing (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, addresses(r.pick(own, members, true, now.Add(fullSurveyInterval/2)))); diff != "" {
		t.Errorf("with a rank still missing after less than fullSurveyInterval (-want +got):\n%s", diff)
	}
	r.update(members[:1], nil, nil)
	if diff := cmp.Diff([]foxtailstack.Address{"a", "b", "c"}, addresses(r.pick(own, members, false, now))); diff != "" {
		t.Errorf("after two members were off the list (-want +got):\n%s", diff)
	}
}
