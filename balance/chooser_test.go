package balance

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
)

// fakeSidecars answers each probe after delay.
type fakeSidecars struct {
	delay time.Duration
	calls atomic.Int64
}

func (s *fakeSidecars) Call(ctx context.Context, _ foxtailstack.Address, _ wire.Kind, _, response any) error {
	s.calls.Add(1)
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	*response.(*upstream.ProbeResponse) = upstream.ProbeResponse{Load: upstream.Load{Slots: 4}}
	return nil
}

// instanceList is a fixed foxtailstack.InstanceList.
type instanceList []foxtailstack.Instance

func (l instanceList) Instances(context.Context) ([]foxtailstack.Instance, error) {
	return l, nil
}

// newReplica returns a replica with the upstreams w1 and w2 of one service.
func newReplica(t *testing.T) *fleet.Replica {
	t.Helper()
	replica := &fleet.Replica{}
	for i, name := range []string{"w1", "w2"} {
		err := replica.Apply([]fleet.Change{{Resource: fleet.Resource{
			ID: fleet.ID{
				Kind: fleet.KindUpstream,
				Name: service.String() + "/" + name,
			},
			Version:  1,
			Revision: foxtailstack.Revision(i + 1),
			Spec:     []byte(`{"address":"127.0.0.1:` + name[1:] + `","centre":"a","slots":4}`),
		}}})
		if err != nil {
			t.Fatalf("apply upstream %s: %v", name, err)
		}
	}
	return replica
}

// A request waits for probes only if too few candidates have a fresh load, and at
// most for maxProbeWait.
func TestChooserWaitsForProbes(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
		// want holds the waiting times of three requests: without any load,
		// with fresh loads, and with loads that are too old.
		want []time.Duration
	}{
		{
			name:  "answered",
			delay: 2 * time.Millisecond,
			want:  []time.Duration{2 * time.Millisecond, 0, 2 * time.Millisecond},
		},
		{
			name:  "no answer",
			delay: time.Hour,
			want:  []time.Duration{maxProbeWait, maxProbeWait, maxProbeWait},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := Chooser{
					Replica: newReplica(t),
					Client:  &fakeSidecars{delay: test.delay},
					Centre:  "a",
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go c.Run(ctx)
				synctest.Wait()
				var got []time.Duration
				for _, pause := range []time.Duration{0, maxAgeWithoutProbe / 2, 2 * maxAgeWithoutProbe} {
					time.Sleep(pause)
					began := time.Now()
					m, ok := c.Choose(ctx, entry.Query{Service: service})
					if !ok {
						t.Fatal("Choose returned no upstream")
					}
					got = append(got, time.Since(began))
					c.Report(m, entry.AttemptResult{Outcome: foxtailstack.Ran})
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("waits (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// The number of probes stays within the budget at any rate of requests.
func TestChooserProbeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sidecars := &fakeSidecars{delay: time.Millisecond}
		c := Chooser{
			Replica: newReplica(t),
			Client:  sidecars,
			Centre:  "a",
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Run(ctx)
		synctest.Wait()
		const seconds = 20
		for range seconds * 1000 {
			c.probe([]Target{member(1, "a"), member(2, "a"), member(3, "a")})
			time.Sleep(time.Millisecond)
		}
		if got, limit := sidecars.calls.Load(), int64(probeBurst+seconds*probeRate+1); got > limit {
			t.Errorf("%d probes in %d s, expected at most %d", got, seconds, limit)
		}
	})
}

func TestChooserAvoidsLeavingInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Chooser{
			Replica: newReplica(t),
			Client:  &fakeSidecars{},
			Instances: instanceList{{
				Address: "127.0.0.1:1",
				Leaving: true,
			}},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Run(ctx)
		synctest.Wait()
		for range 20 {
			m, _ := c.Choose(ctx, entry.Query{Service: service})
			if diff := cmp.Diff(foxtailstack.UpstreamName("w2"), m.ID.Upstream); diff != "" {
				t.Fatalf("picked upstream (-want +got):\n%s", diff)
			}
		}
	})
}
