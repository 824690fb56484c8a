package route_test

import (
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"github.com/google/go-cmp/cmp"
)

func TestMatch(t *testing.T) {
	cfg := &route.Config{}
	cfg.SetRoutes([]route.Route{
		{
			Name:   "root",
			Host:   "a.example",
			Prefix: "/",
		},
		{
			Name:   "drafts",
			Host:   "a.example",
			Prefix: "/drafts/",
		},
		{
			Name:   "long",
			Host:   "A.example",
			Prefix: "/drafts/long/",
		},
	})
	tests := []struct {
		host, path, want string
	}{
		{
			host: "a.example",
			path: "/drafts/long/1",
			want: "long",
		},
		{
			host: "a.example:8080",
			path: "/drafts/longer",
			want: "drafts",
		},
		{
			host: "A.EXAMPLE",
			path: "/drafts",
			want: "root",
		},
		{
			host: "b.example",
			path: "/drafts/1",
		},
	}
	for _, test := range tests {
		got := ""
		if r, ok := cfg.Match(test.host, test.path); ok {
			got = r.Name
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("Match(%q, %q) differs (-want +got):\n%s", test.host, test.path, diff)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := route.Route{Shares: []route.Share{
		{
			Service: "a",
			Weight:  90,
		},
		{
			Service: "b",
			Weight:  10,
		},
		{
			Service: "c",
		},
	}}
	got := map[foxtailstack.ServiceName]int{}
	for range 10_000 {
		got[r.Pick()]++
	}
	if got["b"] < 800 || got["b"] > 1200 || got["c"] != 0 {
		t.Errorf("10000 calls of Pick returned %v, want about 9000 a, 800 to 1200 b and no c", got)
	}
	empty := route.Route{}
	if service := empty.Pick(); service != "" {
		t.Errorf("Pick of a route without shares returned %q, want none", service)
	}
}

func TestAbandonTimeout(t *testing.T) {
	tests := []struct {
		route route.Route
		want  time.Duration
	}{
		{
			want: 2 * time.Second,
		},
		{
			route: route.Route{TargetLatency: time.Second},
			want:  4 * time.Second,
		},
		{
			route: route.Route{MaxEventGap: 500 * time.Millisecond},
			want:  4 * time.Second,
		},
	}
	for _, test := range tests {
		if got := test.route.AbandonTimeout(); got != test.want {
			t.Errorf("target latency %v, maximum event gap %v: got abandonment timeout %v, want %v",
				test.route.TargetLatency, test.route.MaxEventGap, got, test.want)
		}
	}
}

// A draining upstream, and one whose address another has taken over, must get no
// requests although the platform's list still holds them.
func TestFleetLeavesDrainingUpstreamsOut(t *testing.T) {
	fleet := route.NewFleet(3, []route.Upstream{
		{
			Name:    "u2",
			Service: "s",
		},
		{
			Name:    "u1",
			Service: "s",
		},
		{
			Name:     "u3",
			Service:  "s",
			Draining: true,
		},
	})
	var names []foxtailstack.UpstreamName
	for _, u := range fleet.Ready("s") {
		names = append(names, u.Name)
	}
	if diff := cmp.Diff([]foxtailstack.UpstreamName{"u1", "u2"}, names); diff != "" {
		t.Errorf("ready upstreams differ (-want +got):\n%s", diff)
	}
	if _, ok := fleet.Lookup("u3"); !ok || len(fleet.All("s")) != 3 {
		t.Errorf("Lookup(u3) found %t, All returned %d upstreams, want true and 3", ok, len(fleet.All("s")))
	}
	restarted := route.NewFleet(4, []route.Upstream{
		{
			Name:           "old",
			Service:        "s",
			Address:        "10.0.0.1:1",
			StartUnixMilli: 1000,
		},
		{
			Name:           "new",
			Service:        "s",
			Address:        "10.0.0.1:1",
			StartUnixMilli: 2000,
		},
	})
	if ready := restarted.Ready("s"); len(ready) != 1 || ready[0].Name != "new" {
		t.Errorf("got %v of two upstreams at one address, want only the one that started last", ready)
	}
	var unknown *route.Fleet
	if unknown.Len() != 0 || unknown.Ready("s") != nil {
		t.Error("a nil fleet is not empty")
	}
}
