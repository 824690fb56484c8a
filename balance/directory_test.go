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

// newSnapshot returns a configuration with the given upstreams.
func newSnapshot(members ...fleet.Member) *fleet.Snapshot {
	all := map[foxtailstack.UpstreamName]fleet.Member{}
	for _, m := range members {
		all[m.ID.Upstream] = m
	}
	return &fleet.Snapshot{
		Revision:  1,
		Upstreams: map[fleet.ServiceID]map[foxtailstack.UpstreamName]fleet.Member{service: all},
	}
}

// countPicks chooses an upstream for each of n prompts and returns the number of
// picks of each upstream.
func countPicks(d *Directory, now time.Time, n int) map[foxtailstack.UpstreamName]int {
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
			name: "consecutive failures",
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
			name: "failures with an answer between them",
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
			name: "expired but no slower than the others",
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
			name: "expired and slower than the others",
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
			name: "canceled by callers",
			steps: []step{{
				after:  0,
				result: canceled,
				times:  50,
			}},
			want: Healthy,
		},
		{
			name: "crashed during requests",
			steps: []step{{
				after:  0,
				result: crashed,
				times:  50,
			}},
			want: Healthy,
		},
		{
			name: "slower than the others",
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
			name: "half-open after the ejection time",
			steps: []step{{
				after:  0,
				result: failed,
				times:  3,
			}, {
				after:  minEjectionTime,
				result: failed,
				times:  0,
			}},
			want: HalfOpen,
		},
		{
			name: "failed trial call",
			steps: []step{{
				after:  0,
				result: failed,
				times:  3,
			}, {
				after:  minEjectionTime,
				result: failed,
				times:  1,
			}},
			want: Ejected,
		},
		{
			name: "slow trial call",
			steps: []step{{
				after:  0,
				result: failed,
				times:  3,
			}, {
				after:  minEjectionTime,
				result: slow,
				times:  1,
			}},
			want: Ejected,
		},
		{
			name: "successful trial calls",
			steps: []step{{
				after:  0,
				result: failed,
				times:  3,
			}, {
				after:  minEjectionTime,
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
			d.Update(newSnapshot(member(1, "a"), member(2, "a"), member(3, "a"), member(4, "a")), nil)
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
				t.Errorf("health state (-want +got):\n%s", diff)
			}
			wantPicks := 0
			switch test.want {
			case HalfOpen:
				wantPicks = 1 // one trial call per second
			case Healthy:
				wantPicks = -1
			}
			if got := countPicks(&d, now, 200)["w1"]; got != wantPicks && (wantPicks >= 0 || got == 0) {
				t.Errorf("w1 was picked %d times, expected %d (-1: at least once)", got, wantPicks)
			}
		})
	}
}

// Even if all upstreams fail, no more than maxEjectedShare of them are ejected.
func TestDirectoryLimitsEjectedShare(t *testing.T) {
	d := Directory{}
	var members []fleet.Member
	for i := range 10 {
		members = append(members, member(i, "a"))
	}
	d.Update(newSnapshot(members...), nil)
	for _, m := range members {
		for range maxFailures * 3 {
			d.UpdateHealth(time.Unix(0, 0), m, entry.AttemptResult{Outcome: foxtailstack.Unknown})
		}
	}
	if got := len(countPicks(&d, time.Unix(0, 0), 500)); got != 7 {
		t.Errorf("%d of 10 upstreams were picked, expected 7", got)
	}
}

func TestCandidatesAvoidUnavailableUpstreams(t *testing.T) {
	draining := member(1, "a")
	draining.Drain = true
	leaving := map[foxtailstack.Address]bool{member(2, "a").Address: true}
	now := time.Unix(0, 0)
	d := Directory{Centre: "a"}
	d.Update(newSnapshot(draining, member(2, "a"), member(3, "a"), member(4, "a"), member(5, "b")), leaving)
	d.RecordLoad(now, member(3, "a"), upstream.ProbeResponse{Load: upstream.Load{Draining: true}}, time.Millisecond)
	d.RecordProbeFailure(member(5, "b"))
	want := map[foxtailstack.UpstreamName]int{"w4": 100}
	if diff := cmp.Diff(want, countPicks(&d, now, 100)); diff != "" {
		t.Errorf("picks (-want +got):\n%s", diff)
	}
	// An upstream that does not answer probes is picked if there is no other.
	m, _ := d.Candidates(now, entry.Query{
		Service: service,
		Avoid:   []foxtailstack.UpstreamName{"w4"},
	}).Pick(now)
	if diff := cmp.Diff(member(5, "b"), m); diff != "" {
		t.Errorf("picked upstream (-want +got):\n%s", diff)
	}
}

// An upstream whose load was observed too long ago is not assumed to be free. The
// first affinity candidate is probed even if enough others have a fresh load.
func TestStaleLoadIsNotTrusted(t *testing.T) {
	now := time.Unix(0, 0)
	query := entry.Query{Service: service}
	free := upstream.ProbeResponse{Load: upstream.Load{Slots: 4}}
	members := []fleet.Member{member(1, "a"), member(2, "a"), member(3, "a")}
	d := Directory{Centre: "a"}
	d.Update(newSnapshot(members...), nil)
	first, _ := d.Candidates(now, query).Pick(now)
	d.RecordLoad(now, first, free, 0)
	d.FinishAttempt(now, first, entry.AttemptResult{Outcome: foxtailstack.Ran})
	now = now.Add(maxTrustedAge + time.Millisecond)
	for _, m := range members {
		if m != first {
			d.RecordLoad(now, m, free, 0)
		}
	}
	candidates := d.Candidates(now, query)
	awaited, _ := candidates.ProbeTargets(now)
	if diff := cmp.Diff([]Target{first}, awaited); diff != "" {
		t.Errorf("awaited probes (-want +got):\n%s", diff)
	}
	if got, _ := candidates.Pick(now); got == first {
		t.Error("the upstream with the outdated load was picked")
	}
}

func TestPickLowestCost(t *testing.T) {
	now := time.Unix(0, 0)
	query := entry.Query{
		Service: service,
		Prompt:  []byte("prompt"),
	}
	free := upstream.Load{Slots: 4}
	full := upstream.Load{
		Running:         4,
		Slots:           4,
		MeanServiceTime: 4 * time.Second,
	}
	d := Directory{Centre: "a"}
	d.Update(newSnapshot(member(1, "a"), member(2, "a"), member(3, "b")), nil)
	first, _ := d.Candidates(now, query).Pick(now)
	d.FinishAttempt(now, first, entry.AttemptResult{Outcome: foxtailstack.Ran})
	second := member(1, "a")
	if first == second {
		second = member(2, "a")
	}
	tests := []struct {
		name                  string
		first, second, remote upstream.Load
		// sentSince is the number of calls sent to the first affinity candidate
		// since its load was observed.
		sentSince int
		want      fleet.Member
	}{
		{
			name:      "first affinity candidate while it is free",
			first:     free,
			second:    free,
			remote:    free,
			sentSince: 0,
			want:      first,
		},
		{
			name:      "second when the first is full",
			first:     full,
			second:    free,
			remote:    free,
			sentSince: 0,
			want:      second,
		},
		{
			name:      "other data centre when the local upstreams are full",
			first:     full,
			second:    full,
			remote:    free,
			sentSince: 0,
			want:      member(3, "b"),
		},
		{
			name:      "second when own calls fill the first",
			first:     free,
			second:    free,
			remote:    full,
			sentSince: 5,
			want:      second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d.RecordLoad(now, first, upstream.ProbeResponse{Load: test.first}, 0)
			d.RecordLoad(now, second, upstream.ProbeResponse{Load: test.second}, 0)
			d.RecordLoad(now, member(3, "b"), upstream.ProbeResponse{Load: test.remote}, 3*time.Millisecond)
			for range test.sentSince {
				d.find(first).inflight.Add(1)
			}
			got, _ := d.Candidates(now, query).Pick(now)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("picked upstream (-want +got):\n%s", diff)
			}
		})
	}
}
