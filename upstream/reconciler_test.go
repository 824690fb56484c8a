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

// engineStub is an engine that carries out orders.
type engineStub struct {
	foxtailstack.Engine
	checksFencing bool // refuses old fencing tokens
	lostResponses int  // number of orders to carry out and report as failed

	mu     sync.Mutex
	state  foxtailstack.EngineState
	orders []foxtailstack.FencingToken
}

func (e *engineStub) State(context.Context) (foxtailstack.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *engineStub) Order(_ context.Context, want foxtailstack.EngineState) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && want.Fencing < e.state.Fencing {
		return foxtailstack.ErrEngineFenced
	}
	e.state = want
	e.orders = append(e.orders, want.Fencing)
	if e.lostResponses > 0 {
		e.lostResponses--
		return foxtailstack.ErrEngineFailed
	}
	return nil
}

// run runs the reconciler of one sidecar, whose desired state is version, for time d.
func (e *engineStub) run(t *testing.T, table foxtailstack.Table, epoch *SidecarEpoch, version string, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	epoch.Table = table
	epoch.Upstream = "f/s/w"
	r := Reconciler{
		Epoch:  epoch,
		Engine: e,
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
	first := foxtailstack.FencingToken(1<<epochShift | 7)
	second := foxtailstack.FencingToken(2<<epochShift | 7)
	for _, checks := range []bool{true, false} {
		tests := []struct {
			name string
			do   func(t *testing.T, e *engineStub, table *standin.FaultyTable)
			want []foxtailstack.FencingToken
		}{
			{
				name: "one order",
				do: func(t *testing.T, e *engineStub, table *standin.FaultyTable) {
					e.run(t, table, &SidecarEpoch{}, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first},
			},
			{
				name: "no orders without the table",
				do: func(t *testing.T, e *engineStub, table *standin.FaultyTable) {
					table.Set(standin.Faults{Outage: true})
					e.run(t, table, &SidecarEpoch{}, "1", time.Minute)
				},
				want: nil,
			},
			{
				name: "orders once the table is back",
				do: func(t *testing.T, e *engineStub, table *standin.FaultyTable) {
					table.Set(standin.Faults{Outage: true})
					time.AfterFunc(30*time.Second, func() { table.Set(standin.Faults{}) })
					e.run(t, table, &SidecarEpoch{}, "1", 2*time.Minute)
				},
				want: []foxtailstack.FencingToken{first},
			},
			{
				name: "lost response of the table",
				do: func(t *testing.T, e *engineStub, table *standin.FaultyTable) {
					table.Set(standin.Faults{LoseAnswers: 1})
					e.run(t, table, &SidecarEpoch{Incarnation: foxtailstack.NewIncarnation()}, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first},
			},
			{
				name: "lost response of the engine",
				do: func(t *testing.T, e *engineStub, table *standin.FaultyTable) {
					e.lostResponses = 1
					e.run(t, table, &SidecarEpoch{}, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first},
			},
			{
				name: "engine restart",
				do: func(t *testing.T, e *engineStub, table *standin.FaultyTable) {
					epoch := &SidecarEpoch{}
					e.run(t, table, epoch, "1", time.Minute)
					e.state = foxtailstack.EngineState{}
					e.run(t, table, epoch, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first, first},
			},
			{
				name: "earlier sidecar that was paused",
				do: func(t *testing.T, e *engineStub, table *standin.FaultyTable) {
					epoch := &SidecarEpoch{}
					e.run(t, table, epoch, "1", time.Minute)
					e.run(t, table, &SidecarEpoch{Incarnation: foxtailstack.Incarnation{1}}, "2", time.Minute)
					e.run(t, table, epoch, "1", time.Minute)
				},
				want: []foxtailstack.FencingToken{first, second},
			},
		}
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := &engineStub{checksFencing: checks}
					test.do(t, e, &standin.FaultyTable{Table: &memstore.Store{}})
					if diff := cmp.Diff(test.want, e.orders); diff != "" {
						t.Errorf("orders with checks %t (-want +got):\n%s", checks, diff)
					}
				})
			})
		}
	}
}
