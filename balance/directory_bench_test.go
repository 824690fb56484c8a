package balance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
)

// manyUpstreams returns a configuration with the given number of services, each
// with the given number of upstreams in 12 data centres.
func manyUpstreams(services, upstreams int) *fleet.Snapshot {
	snapshot := &fleet.Snapshot{Upstreams: map[fleet.ServiceID]map[foxtailstack.UpstreamName]fleet.Member{}}
	for s := range services {
		id := fleet.ServiceID{
			Fleet:   "formula",
			Service: foxtailstack.ServiceName(fmt.Sprint("s", s)),
		}
		snapshot.Upstreams[id] = map[foxtailstack.UpstreamName]fleet.Member{}
		for u := range upstreams {
			m := member(u, foxtailstack.DataCentre(fmt.Sprint("dc", u%12)))
			m.ID.ServiceID = id
			snapshot.Upstreams[id][m.ID.Upstream] = m
		}
	}
	return snapshot
}

// BenchmarkDirectory measures a choice, an Update and a Tick of a Directory of 4598
// upstreams in 11 services, and its memory per upstream.
func BenchmarkDirectory(b *testing.B) {
	const services, upstreams = 11, 418
	snapshot := manyUpstreams(services, upstreams)
	now := time.Unix(0, 0)
	id := fleet.ServiceID{
		Fleet:   "formula",
		Service: "s0",
	}
	d := &Directory{Centre: "dc0"}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d.Update(snapshot, nil)
	runtime.GC()
	runtime.ReadMemStats(&after)
	perUpstream := float64(after.HeapAlloc-before.HeapAlloc) / services / upstreams
	for _, m := range snapshot.Upstreams[id] {
		d.RecordLoad(now, m, upstream.ProbeResponse{
			Load:           upstream.Load{Slots: 4},
			CachedPrefixes: make(upstream.PrefixSet, 32),
		}, time.Millisecond)
	}
	query := entry.Query{
		Service: id,
		Prompt:  make([]byte, 1<<10),
	}
	b.Run("choose", func(b *testing.B) {
		for b.Loop() {
			m, _ := d.Candidates(now, query).Pick(now)
			d.FinishAttempt(now, m, entry.AttemptResult{Outcome: foxtailstack.Ran})
		}
		b.ReportMetric(perUpstream, "B/upstream")
	})
	b.Run("update", func(b *testing.B) {
		for b.Loop() {
			d.Update(snapshot, nil)
		}
	})
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			d.Tick(now)
		}
	})
}
