package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/google/go-cmp/cmp"
)

var service = fleet.ServiceID{
	Fleet:   "formula",
	Service: "drafting",
}

// member returns upstream n of the service.
func member(n int, centre foxtailstack.DataCentre) fleet.Member {
	return fleet.Member{
		ID: fleet.UpstreamID{
			ServiceID: service,
			Upstream:  foxtailstack.UpstreamName(fmt.Sprintf("w%d", n)),
		},
		Upstream: fleet.Upstream{
			Address: foxtailstack.Address(fmt.Sprintf("10.0.0.%d:1", n)),
			Centre:  centre,
			Slots:   4,
		},
	}
}

// snapshotOf returns a configuration with the given upstreams.
func snapshotOf(members ...fleet.Member) *fleet.Snapshot {
	all := map[foxtailstack.UpstreamName]fleet.Member{}
	for _, m := range members {
		all[m.ID.Upstream] = m
	}
	return &fleet.Snapshot{
		Revision:  1,
		Upstreams: map[fleet.ServiceID]map[foxtailstack.UpstreamName]fleet.Member{service: all},
	}
}

// picks returns which upstreams a number of prompts go to.
func picks(d *Directory, now time.Time, n int) map[foxtailstack.UpstreamName]int {
	counts := map[foxtailstack.UpstreamName]int{}
	for i := range n {
		m, ok := d.Candidates(now, entry.Query{
			Service: service,
			Prompt:  fmt.Append(nil, "prompt ", i),
		}).Pick(now)
		if ok {
			counts[m.ID.Upstream]++
			d.FinishAttempt(now, m, entry.AttemptResult{Outcome: foxtailstack.Ran})
		}
	}
	return counts
}

func TestDirectoryHealth(t *testing.T) {
	failed := entry.AttemptResult{Outcome: foxtailstack.Unknown}
	ran := entry.AttemptResult{
		Outcome: foxtailstack.Ran,
		Latency: 100 * time.Millisecond,
	}
	slow := entry.AttemptResult{
		Outcome: foxtailstack.Ran,
		Latency: time.Second,
	}
	unreachable := entry.AttemptResult{
		Outcome:     foxtailstack.NotRun,
		Unreachable: true,
	}
	canceled := entry.AttemptResult{
		Outcome:  foxtailstack.Unknown,
		Canceled: true,
	}
	expired := entry.AttemptResult{
		Outcome: foxtailstack.Unknown,
		Expired: true,
		Latency: 150 * time.Millisecond,
	}
	hung := expired
	hung.Latency = 10 * time.Second
	refused := entry.AttemptResult{
		Outcome: foxtailstack.NotRun,
		Refused: true,
	}
	crashed := entry.AttemptResult{
		Outcome: foxtailstack.Unknown,
		Crashed: true,
	}
	type step struct {
		after  time.Duration
		result entry.AttemptResult
		times  int
	}
	tests := []struct {
		name  string
		steps []step
		want  HealthState
	}{
		{
			name: "failures in a row",
			steps: []step{{
				after:  0,
				result: failed,
				times:  3,
			}},
			want: Ejected,
		},
		{
			name: "unreachable",
			steps: []step{{
				after:  0,
				result: unreachable,
				times:  3,
			}},
			want: Ejected,
		},
		{
			name: "failures broken by an answer",
			steps: []step{{
				after:  0,
				result: failed,
				times:  2,
			}, {
				after:  0,
				result: ran,
				times:  1,
			}, {
				after:  0,
				result: failed,
				times:  2,
			}},
			want: Healthy,
		},
		{
			name: "deadlines as short as the answers of others",
			steps: []step{{
				after:  0,
				result: expired,
				times:  50,
			}, {
				after:  time.Second,
				result: expired,
				times:  0,
			}},
			want: Healthy,
		},
		{
			name: "deadlines that only this one misses",
			steps: []step{{
				after:  0,
				result: hung,
				times:  20,
			}, {
				after:  time.Second,
				result: hung,
				times:  0,
			}},
			want: Ejected,
		},
		{
			name: "refusals",
			steps: []step{{
				after:  0,
				result: refused,
				times:  50,
			}},
			want: Healthy,
		},
		{
			name: "callers that go away",
			steps: []step{{
				after:  0,
				result: canceled,
				times:  50,
			}},
			want: Healthy,
		},
		{
			name: "requests that crash it",
			steps: []step{{
				after:  0,
				result: crashed,
				times:  50,
			}},
			want: Healthy,
		},
		{
			name: "slow against the others",
			steps: []step{{
				after:  0,
				result: slow,
				times:  20,
			}, {
				after:  time.Second,
				result: slow,
				times:  0,
			}},
			want: Ejected,
		},
		{
			name: "on trial after a time",
			steps: []step{{
				after:  0,
				result: failed,
				times:  3,
			}, {
				after:  minCooling,
				result: failed,
				times:  0,
			}},
			want: HalfOpen,
		},
		{
			name: "fails on trial",
			steps: []step{{
				after:  0,
				result: failed,
				times:  3,
			}, {
				after:  minCooling,
				result: failed,
				times:  1,
			}},
			want: Ejected,
		},
		{
			name: "slow on trial",
			steps: []step{{
				after:  0,
				result: failed,
				times:  3,
			}, {
				after:  minCooling,
				result: slow,
				times:  1,
			}},
			want: Ejected,
		},
		{
			name: "passes its trial",
			steps: []step{{
				after:  0,
				result: failed,
				times:  3,
			}, {
				after:  minCooling,
				result: ran,
				times:  3,
			}},
			want: Healthy,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			d := Directory{}
			d.Update(snapshotOf(member(1, "a"), member(2, "a"), member(3, "a"), member(4, "a")), nil)
			for i := 2; i <= 4; i++ {
				for range minSamples {
					d.UpdateHealth(now, member(i, "a"), ran)
				}
			}
			for _, s := range test.steps {
				now = now.Add(s.after)
				d.Tick(now)
				for range s.times {
					d.UpdateHealth(now, member(1, "a"), s.result)
				}
			}
			if diff := cmp.Diff(test.want, d.StateOf(member(1, "a"))); diff != "" {
				t.Error(diff)
			}
			wantPicks := 0
			switch test.want {
			case HalfOpen:
				wantPicks = 1 // one call on trial a second
			case Healthy:
				wantPicks = -1
			}
			if got := picks(&d, now, 200)["w1"]; got != wantPicks && (wantPicks >= 0 || got == 0) {
				t.Errorf("%d picks, expected %d", got, wantPicks)
			}
		})
	}
}

// However many upstreams fail, work still goes to most of them.
func TestDirectoryEjectsAShareAtMost(t *testing.T) {
	d := Directory{}
	var members []fleet.Member
	for i := range 10 {
		members = append(members, member(i, "a"))
	}
	d.Update(snapshotOf(members...), nil)
	for _, m := range members {
		for range maxFailures * 3 {
			d.UpdateHealth(time.Unix(0, 0), m, entry.AttemptResult{Outcome: foxtailstack.Unknown})
		}
	}
	if got := len(picks(&d, time.Unix(0, 0), 500)); got != 7 {
		t.Errorf("work goes to %d of 10 upstreams, expected 7", got)
	}
}

func TestProposalAvoids(t *testing.T) {
	draining := member(1, "a")
	draining.Drain = true
	leaving := map[foxtailstack.Address]bool{member(2, "a").Address: true}
	now := time.Unix(0, 0)
	d := Directory{Centre: "a"}
	d.Update(snapshotOf(draining, member(2, "a"), member(3, "a"), member(4, "a"), member(5, "b")), leaving)
	d.RecordLoad(now, member(3, "a"), upstream.Sighting{Load: upstream.Load{Draining: true}}, time.Millisecond)
	d.RecordProbeFailure(member(5, "b"))
	want := map[foxtailstack.UpstreamName]int{"w4": 100}
	if diff := cmp.Diff(want, picks(&d, now, 100)); diff != "" {
		t.Error(diff)
	}
	// One that answers no probes is better than none.
	m, _ := d.Candidates(now, entry.Query{
		Service: service,
		Tried:   []foxtailstack.UpstreamName{"w4"},
	}).Pick(now)
	if diff := cmp.Diff(member(5, "b"), m); diff != "" {
		t.Error(diff)
	}
}

// An upstream that no probe has reached lately is not believed to be free, and
// the home is probed even if enough others are fresh.
func TestProposalDoubtsOldSightings(t *testing.T) {
	now := time.Unix(0, 0)
	query := entry.Query{Service: service}
	free := upstream.Sighting{Load: upstream.Load{Slots: 4}}
	members := []fleet.Member{member(1, "a"), member(2, "a"), member(3, "a")}
	d := Directory{Centre: "a"}
	d.Update(snapshotOf(members...), nil)
	home, _ := d.Candidates(now, query).Pick(now)
	d.RecordLoad(now, home, free, 0)
	d.FinishAttempt(now, home, entry.AttemptResult{Outcome: foxtailstack.Ran})
	now = now.Add(lately + time.Millisecond)
	for _, m := range members {
		if m != home {
			d.RecordLoad(now, m, free, 0)
		}
	}
	proposal := d.Candidates(now, query)
	awaited, _ := proposal.ProbeTargets(now)
	if diff := cmp.Diff([]Target{home}, awaited); diff != "" {
		t.Error(diff)
	}
	if got, _ := proposal.Pick(now); got == home {
		t.Error("an old sighting was believed")
	}
}

func TestProposalPicksTheCheapest(t *testing.T) {
	now := time.Unix(0, 0)
	query := entry.Query{
		Service: service,
		Prompt:  []byte("prompt"),
	}
	free := upstream.Load{Slots: 4}
	full := upstream.Load{
		Running: 4,
		Slots:   4,
		Service: 4 * time.Second,
	}
	d := Directory{Centre: "a"}
	d.Update(snapshotOf(member(1, "a"), member(2, "a"), member(3, "b")), nil)
	home, _ := d.Candidates(now, query).Pick(now)
	d.FinishAttempt(now, home, entry.AttemptResult{Outcome: foxtailstack.Ran})
	other := member(1, "a")
	if home == other {
		other = member(2, "a")
	}
	tests := []struct {
		name              string
		home, other, away upstream.Load
		// before is the number of calls sent home since it was seen.
		before int
		want   fleet.Member
	}{
		{
			name:   "home while it is free",
			home:   free,
			other:  free,
			away:   free,
			before: 0,
			want:   home,
		},
		{
			name:   "second when home is full",
			home:   full,
			other:  free,
			away:   free,
			before: 0,
			want:   other,
		},
		{
			name:   "another data centre when all here are full",
			home:   full,
			other:  full,
			away:   free,
			before: 0,
			want:   member(3, "b"),
		},
		{
			name:   "second when own calls fill home",
			home:   free,
			other:  free,
			away:   full,
			before: 5,
			want:   other,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d.RecordLoad(now, home, upstream.Sighting{Load: test.home}, 0)
			d.RecordLoad(now, other, upstream.Sighting{Load: test.other}, 0)
			d.RecordLoad(now, member(3, "b"), upstream.Sighting{Load: test.away}, 3*time.Millisecond)
			for range test.before {
				d.find(home).inflight.Add(1)
			}
			got, _ := d.Candidates(now, query).Pick(now)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
