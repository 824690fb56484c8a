package quarantine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"github.com/google/go-cmp/cmp"
)

// testProber refuses connections if it is true.
type testProber bool

func (p testProber) Refuses(context.Context, foxtailstack.UpstreamName, foxtailstack.Address) bool {
	return bool(p)
}

// slowProber has no result before its context ends.
type slowProber struct{}

func (slowProber) Refuses(ctx context.Context, _ foxtailstack.UpstreamName, _ foxtailstack.Address) bool {
	<-ctx.Done()
	return false
}

// endingProber accepts connections until a time.
type endingProber struct {
	until time.Time
}

func (p endingProber) Refuses(context.Context, foxtailstack.UpstreamName, foxtailstack.Address) bool {
	return time.Now().After(p.until)
}

// allReprobes is longer than all probes of one lost connection take.
const allReprobes = firstReprobeDelay<<maxReprobes + maxReprobes*probeTimeout

// firstStart is the upstream of the tests as it started first.
var firstStart = route.Upstream{
	Name:           "w",
	Service:        "drafts",
	Address:        "127.0.0.1:1",
	StartUnixMilli: 1000,
}

// started returns the upstream with another name and start.
func started(name foxtailstack.UpstreamName, start int64) route.Upstream {
	u := firstStart
	u.Name = name
	u.StartUnixMilli = start
	return u
}

// draining returns the upstream as it drains.
func draining() route.Upstream {
	u := firstStart
	u.Draining = true
	return u
}

// Guards against a lost connection or silence that counts as a crash though the upstream
// goes on or leaves as planned, and against crashes that are missed or counted twice.
func TestDetector(t *testing.T) {
	lost := func(d *Detector) { d.ConnectionLost(context.Background(), Attempt{}, firstStart) }
	silent := func(d *Detector) { d.Unanswered(Attempt{}, firstStart) }
	tests := map[string]struct {
		prober Prober
		before []route.Upstream
		ends   []func(d *Detector)
		wait   time.Duration
		after  []route.Upstream
		want   int
	}{
		"lost, the upstream accepts connections": {
			prober: testProber(false),
			ends:   []func(d *Detector){lost},
		},
		"lost, the upstream refuses connections": {
			prober: testProber(true),
			ends:   []func(d *Detector){lost},
			want:   1,
		},
		"lost, refused and started anew": {
			prober: testProber(true),
			ends:   []func(d *Detector){lost, silent},
			after:  []route.Upstream{started("w2", 2000)},
			want:   1,
		},
		"lost, no word, started anew": {
			prober: slowProber{},
			ends:   []func(d *Detector){lost},
			after:  []route.Upstream{firstStart, started("w2", 2000)},
			want:   1,
		},
		"silent, started anew": {
			prober: testProber(false),
			ends:   []func(d *Detector){silent, silent},
			after:  []route.Upstream{started("w", 2000)},
			want:   1,
		},
		"silent, started anew too late": {
			prober: testProber(false),
			ends:   []func(d *Detector){silent},
			wait:   unansweredTTL + time.Millisecond,
			after:  []route.Upstream{started("w", 2000)},
		},
		"silent, gone from the list": {
			prober: testProber(false),
			ends:   []func(d *Detector){silent},
			after:  []route.Upstream{},
		},
		"lost while it drains": {
			prober: testProber(true),
			before: []route.Upstream{draining()},
			ends:   []func(d *Detector){lost},
			after:  []route.Upstream{started("w2", 2000)},
		},
		"lost after it left the list": {
			prober: testProber(true),
			before: []route.Upstream{},
			ends:   []func(d *Detector){lost},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if test.before == nil {
					test.before = []route.Upstream{firstStart}
				}
				var fleet atomic.Pointer[route.Fleet] // timers of the detector read it too
				fleet.Store(route.NewFleet(1, test.before))
				var list List
				d := &Detector{
					Fleet:  fleet.Load,
					Prober: test.prober,
					Report: func(crashes []Crash) { addAll(&list, crashes) },
				}
				for _, end := range test.ends {
					end(d)
				}
				time.Sleep(test.wait)
				if test.after != nil {
					fleet.Store(route.NewFleet(2, test.after))
				}
				d.FleetChanged()
				if diff := cmp.Diff(test.want, len(list.All())); diff != "" {
					t.Errorf("number of crashes (-want +got):\n%s", diff)
				}
				time.Sleep(max(probeTTL, allReprobes)) // so that no timer is left
			})
		})
	}
}

// Guards against an attempt that waits long for an upstream that does not answer a probe.
func TestDetectorBoundsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := route.NewFleet(1, []route.Upstream{firstStart})
		d := &Detector{
			Fleet:  func() *route.Fleet { return fleet },
			Prober: slowProber{},
			Report: func([]Crash) {},
		}
		began := time.Now()
		d.ConnectionLost(t.Context(), Attempt{}, firstStart)
		if diff := cmp.Diff(probeTimeout, time.Since(began)); diff != "" {
			t.Errorf("wait (-want +got):\n%s", diff)
		}
		time.Sleep(max(probeTTL, allReprobes))
	})
}

// Guards against a crash that is recorded only once the upstream is back, because the
// listener of the ending process accepts the probe that follows the first lost
// connection.
func TestDetectorProbesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := route.NewFleet(1, []route.Upstream{firstStart})
		var list List
		d := &Detector{
			Fleet:  func() *route.Fleet { return fleet },
			Prober: endingProber{until: time.Now().Add(5 * time.Millisecond)},
			Report: func(crashes []Crash) { addAll(&list, crashes) },
		}
		d.ConnectionLost(t.Context(), Attempt{Subject: Subject{Request: Fingerprint{1}}}, firstStart)
		d.ConnectionLost(t.Context(), Attempt{Subject: Subject{Request: Fingerprint{2}}}, firstStart)
		if diff := cmp.Diff(0, len(list.All())); diff != "" {
			t.Errorf("crashes while the upstream accepts connections (-want +got):\n%s", diff)
		}
		time.Sleep(2 * firstReprobeDelay)
		if diff := cmp.Diff(2, len(list.All())); diff != "" {
			t.Errorf("crashes after the upstream has ended (-want +got):\n%s", diff)
		}
		time.Sleep(max(probeTTL, allReprobes))
	})
}

// addAll adds crashes to a list.
func addAll(l *List, crashes []Crash) {
	for _, c := range crashes {
		l.Add(c)
	}
}
