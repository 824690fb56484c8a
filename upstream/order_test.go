package upstream

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/google/go-cmp/cmp"
)

// loader is an engine that takes orders.
type loader struct {
	foxtailstack.Engine
	checks bool // refuses old fencing numbers
	lost   int  // orders whose answers are lost

	mu     sync.Mutex
	state  foxtailstack.EngineState
	orders []foxtailstack.FencingToken
}

func (l *loader) State(context.Context) (foxtailstack.EngineState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, nil
}

func (l *loader) Order(_ context.Context, want foxtailstack.EngineState) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checks && want.Fencing < l.state.Fencing {
		return foxtailstack.ErrEngineFenced
	}
	l.state = want
	l.orders = append(l.orders, want.Fencing)
	if l.lost > 0 {
		l.lost--
		return foxtailstack.ErrEngineFailed
	}
	return nil
}

// run runs the reconciler of one sidecar, which wants a version, for a time.
func (l *loader) run(t *testing.T, table foxtailstack.Table, holder *SidecarEpoch, version string, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	holder.Table = table
	holder.Upstream = "f/s/w"
	r := Reconciler{
		Epoch:  holder,
		Engine: l,
		Desired: func() (DesiredState, bool) {
			return DesiredState{
				Revision: 7,
				Model:    "m",
				Version:  version,
			}, true
		},
		DesiredChanged: func() <-chan struct{} { return nil },
		Ring:           &timeline.Ring{},
	}
	r.Run(ctx)
}

func TestReconciler(t *testing.T) {
	first := foxtailstack.FencingToken(1<<numberBits | 7)
	second := foxtailstack.FencingToken(2<<numberBits | 7)
	for _, checks := range []bool{true, false} {
		tests := []struct {
			name string
			do   func(t *testing.T, l *loader, table *standin.FaultyTable)
			want []foxtailstack.FencingToken
		}{
			{
				name: "one order",
				do: func(t *testing.T, l *loader, table *standin.FaultyTable) {
					l.run(t, table, &SidecarEpoch{}, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first},
			},
			{
				name: "no orders without the table",
				do: func(t *testing.T, l *loader, table *standin.FaultyTable) {
					table.Set(standin.Faults{Outage: true})
					l.run(t, table, &SidecarEpoch{}, "1", time.Minute)
				},
				want: nil,
			},
			{
				name: "orders once the table is back",
				do: func(t *testing.T, l *loader, table *standin.FaultyTable) {
					table.Set(standin.Faults{Outage: true})
					time.AfterFunc(30*time.Second, func() { table.Set(standin.Faults{}) })
					l.run(t, table, &SidecarEpoch{}, "1", 2*time.Minute)
				},
				want: []foxtailstack.FencingToken{first},
			},
			{
				name: "lost answer of the table",
				do: func(t *testing.T, l *loader, table *standin.FaultyTable) {
					table.Set(standin.Faults{LoseAnswers: 1})
					l.run(t, table, &SidecarEpoch{Incarnation: foxtailstack.NewIncarnation()}, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first},
			},
			{
				name: "lost answer of the engine",
				do: func(t *testing.T, l *loader, table *standin.FaultyTable) {
					l.lost = 1
					l.run(t, table, &SidecarEpoch{}, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first},
			},
			{
				name: "engine that starts anew",
				do: func(t *testing.T, l *loader, table *standin.FaultyTable) {
					holder := &SidecarEpoch{}
					l.run(t, table, holder, "1", time.Minute)
					l.state = foxtailstack.EngineState{}
					l.run(t, table, holder, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first, first},
			},
			{
				name: "earlier sidecar that was paused",
				do: func(t *testing.T, l *loader, table *standin.FaultyTable) {
					old := &SidecarEpoch{}
					l.run(t, table, old, "1", time.Minute)
					l.run(t, table, &SidecarEpoch{Incarnation: foxtailstack.Incarnation{1}}, "2", time.Minute)
					l.run(t, table, old, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first, second},
			},
		}
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := &loader{checks: checks}
					test.do(t, l, &standin.FaultyTable{Table: &memstore.Store{}})
					if diff := cmp.Diff(test.want, l.orders); diff != "" {
						t.Errorf("orders with checks %t (-want +got):\n%s", checks, diff)
					}
				})
			})
		}
	}
}
