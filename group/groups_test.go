package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

// runService runs a test with a service of three groups of four ranks, which start
// together, and then checks their passes.
func runService(t *testing.T, test func(t *testing.T, s *simService)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimService(3, 4)
		ctx, cancel := context.WithCancel(t.Context())
		s.start(ctx)
		test(t, s)
		s.checkPasses(t)
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// Guards against planners that make the sidecars of other groups refuse their own planner,
// since fencing tokens of all groups come from one counter.
func TestGroupsThatStartTogetherKeepTheirPlanners(t *testing.T) {
	runService(t, func(t *testing.T, s *simService) {
		want := map[string]int{
			"g0": 1,
			"g1": 1,
			"g2": 1,
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff(want, s.plannersOf()); diff != "" {
			t.Errorf("planners after the first second (-want +got):\n%s", diff)
		}
		time.Sleep(30 * time.Second)
		if diff := cmp.Diff(want, s.plannersOf()); diff != "" {
			t.Errorf("planners after half a minute (-want +got):\n%s", diff)
		}
		for _, g := range s.groups {
			g.mu.Lock()
			if g.ranks[0].report.Map == 0 || g.longestPass > 2*passTime {
				t.Errorf("group %s: map %d, longest pass %s, want a changed map and at most %s", g.name, g.ranks[0].report.Map, g.longestPass, 2*passTime)
			}
			g.mu.Unlock()
		}
	})
}

// Guards against planners that ask all upstreams of the service who belongs to their group
// after all processes were killed: the time until the group works again grows with the
// service then.
func TestGroupsAreFoundAgainWithoutQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimService(3, 4)
		before, kill := context.WithCancel(t.Context())
		s.start(before)
		time.Sleep(3 * time.Second)
		kill()
		time.Sleep(time.Minute) // lets all goroutines end
		s.mu.Lock()
		questions := s.messages[pathGroups]
		clear(s.claims)
		s.mu.Unlock()
		if questions == 0 {
			t.Error("no questions at the first start")
		}
		ctx, cancel := context.WithCancel(t.Context())
		s.start(ctx)
		time.Sleep(time.Second)
		s.mu.Lock()
		if got := s.messages[pathGroups]; got != questions {
			t.Errorf("%d questions after a restart, want none", got-questions)
		}
		for address, sidecar := range s.all {
			sidecar.mu.Lock()
			if sidecar.status.message == nil {
				t.Errorf("sidecar %s knows no status a second after the restart", address)
			}
			sidecar.mu.Unlock()
		}
		s.mu.Unlock()
		if diff := cmp.Diff(map[string]int{
			"g0": 1,
			"g1": 1,
			"g2": 1,
		}, s.plannersOf()); diff != "" {
			t.Errorf("planners after the restart (-want +got):\n%s", diff)
		}
		s.checkPasses(t)
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// Guards against a planner that lacks a rank, asks all upstreams of the service and so takes
// over groups that are not its own.
func TestPlannerThatAsksEverybodyDisturbsNobody(t *testing.T) {
	runService(t, func(t *testing.T, s *simService) {
		time.Sleep(2 * time.Second)
		lost := s.groups[0].ranks[3]
		s.mu.Lock()
		delete(s.sidecars, string(lost.address()))
		s.mu.Unlock()
		s.groups[0].mu.Lock()
		lost.unreachable = true
		s.groups[0].mu.Unlock()
		time.Sleep(20 * time.Second)
		got := s.plannersOf()
		if got["g1"] != 1 || got["g2"] != 1 {
			t.Errorf("got planners %v, want one of g1 and one of g2", got)
		}
	})
}

// Guards against a sidecar that takes messages of another group's planner, or of one that
// names no group, for those of its own.
func TestSidecarRefusesPlannersOfOtherGroups(t *testing.T) {
	runService(t, func(t *testing.T, s *simService) {
		time.Sleep(2*time.Second + 7*time.Millisecond) // no timer ends at the same time
		sidecar := s.all[s.groups[0].ranks[1].address()]
		sidecar.mu.Lock()
		planner, record, heard := sidecar.planner, sidecar.armRecord, sidecar.lastHeard
		sidecar.mu.Unlock()
		for _, name := range []Name{"g1", ""} {
			peer := &Peer{
				Sidecar:    s.groups[0].ranks[1].address(),
				Client:     sidecar.Client,
				DirectRank: s.rank(s.groups[0].ranks[1].address()),
				Planner: PlannerInfo{
					Planner: "foreign",
					Fence:   1000,
					Group:   name,
				},
			}
			order := Order{
				Action:    Release,
				Formation: 1,
				Fence:     1000,
				Group:     name,
			}
			_, observeErr := peer.Observe(t.Context(), false)
			_, reportErr := peer.Report(t.Context())
			_, gatherErr := peer.Gather(t.Context(), nil, false, nil)
			for what, err := range map[string]error{
				"observe":  observeErr,
				"report":   reportErr,
				"gather":   gatherErr,
				"order":    peer.Order(t.Context(), order),
				"delegate": peer.Delegate(t.Context(), order, s.groups[0].ranks[2].address()),
			} {
				if got, _ := otherGroup(err); got != "g0" {
					t.Errorf("%s for group %q: error %v, want one that names g0", what, name, err)
				}
			}
			if failed := peer.Forward(t.Context(), order, nil); len(failed) != 1 {
				t.Errorf("order forwarded for group %q was carried out", name)
			}
			peer.Heartbeat(t.Context())
		}
		sidecar.mu.Lock()
		if diff := cmp.Diff(planner, sidecar.planner); diff != "" {
			t.Errorf("planner of the sidecar (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(record, sidecar.armRecord); diff != "" {
			t.Errorf("arm record (-want +got):\n%s", diff)
		}
		if sidecar.lastHeard != heard {
			t.Error("foreign messages restart the timeout")
		}
		sidecar.mu.Unlock()
	})
}

// Guards against a rank that keeps the planner, fencing token, arm record, status or maps
// of the group that it has left, and against a roster that does not notice.
func TestRankMovesToAnotherGroup(t *testing.T) {
	runService(t, func(t *testing.T, s *simService) {
		time.Sleep(3 * time.Second)
		// The token of the first group's planner is newer than that of the second one.
		from, to := s.groups[2], s.groups[0]
		if s.versionOf("g0") > s.versionOf("g2") {
			from, to = to, from
		}
		moved := from.ranks[3]
		old := moved.address()
		sidecar := s.all[old]
		replaced := to.ranks[3]
		s.exchange(moved.address(), replaced.address())
		time.Sleep(4 * time.Second)
		planner := func(at foxtailstack.Address) Name {
			s.all[at].mu.Lock()
			defer s.all[at].mu.Unlock()
			return s.all[at].planner.Group
		}
		if got := planner(old); got != to.name {
			t.Errorf("planner of group %q at the rank that has moved to %q", got, to.name)
		}
		sidecar.mu.Lock()
		if got := sidecar.status.message; got == nil || got.Group != to.name {
			t.Errorf("status %+v at the rank that has moved to %q", got, to.name)
		}
		sidecar.mu.Unlock()
		for _, g := range []*simGroup{from, to} {
			g.mu.Lock()
			before := g.ranks[0].report.Map
			g.mu.Unlock()
			time.Sleep(6 * time.Second)
			g.mu.Lock()
			if after := g.ranks[0].report.Map; after == before {
				t.Errorf("group %s keeps map %d after ranks were exchanged", g.name, after)
			}
			g.mu.Unlock()
		}
		if diff := cmp.Diff(map[string]int{
			"g0": 1,
			"g1": 1,
			"g2": 1,
		}, s.plannersOf()); diff != "" {
			t.Errorf("planners (-want +got):\n%s", diff)
		}
	})
}
