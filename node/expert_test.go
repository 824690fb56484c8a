package node

import (
	"net/http/httptest"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/expert"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/google/go-cmp/cmp"
)

func TestGroupOf(t *testing.T) {
	service := fleet.ServiceID{
		Fleet:   "f",
		Service: "s",
	}
	tests := map[string]struct {
		ranks []foxtailstack.Rank
		want  int
	}{
		"complete": {
			ranks: []foxtailstack.Rank{1, 0, 2},
			want:  3,
		},
		"rank missing": {ranks: []foxtailstack.Rank{0, 2}},
		"rank twice":   {ranks: []foxtailstack.Rank{0, 1, 1}},
		"no other ranks": {
			ranks: []foxtailstack.Rank{0},
			want:  1,
		},
	}
	for name, test := range tests {
		members := map[foxtailstack.UpstreamName]fleet.Member{"other": {}}
		names := []foxtailstack.UpstreamName{"a", "b", "c"}
		for i, rank := range test.ranks {
			members[names[i]] = fleet.Member{Upstream: fleet.Upstream{
				Group: "g",
				Rank:  rank,
			}}
		}
		snapshot := &fleet.Snapshot{Upstreams: map[fleet.ServiceID]map[foxtailstack.UpstreamName]fleet.Member{service: members}}
		_, ranks := groupOf(snapshot, fleet.UpstreamID{
			ServiceID: service,
			Upstream:  "a",
		})
		if diff := cmp.Diff(test.want, len(ranks)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

func TestStepGate(t *testing.T) {
	agent := &expert.Agent{Ring: &timeline.Ring{}}
	err := agent.Init(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	go agent.Run(t.Context())
	g := &group{}
	var got []string
	for _, query := range []string{"1", "none", "1"} {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest("GET", pathStep+"?step="+query, nil))
		got = append(got, w.Body.String())
		g.agent.Store(agent)
	}
	want := []string{
		"upstream is in no group\n",
		"step is not a number\n",
		`{"epoch":0,"begin":true}` + "\n",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}
