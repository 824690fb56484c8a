package machine

import (
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/group"
	"github.com/foxtailstack/foxtailstack/memory"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// Guards against a sidecar that takes over planning and calls nobody until it has read the list
// of upstreams: the group stays held, and the next sidecar takes over from it meanwhile.
func TestMembersAreKnownBeforeListIsRead(t *testing.T) {
	cfg := platform.Settings{
		UpstreamAddress: "10.0.0.1:80",
		PeerPort:        90,
	}
	s := &Sidecar{
		settings: cfg,
		view:     newView(cfg, zap.NewNop()),
		client:   newPeerClient(&memory.Account{}),
		group:    &group.Sidecar{},
	}
	want := []foxtailstack.Address{"10.0.0.1:80", "10.0.0.2:80"}
	var got []foxtailstack.Address
	for _, member := range s.members(group.PlannerInfo{}, want) {
		got = append(got, member.Address())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("members differ (-want +got):\n%s", diff)
	}
}
