package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/timeline"
)

const (
	// checkInterval is the time between two looks at what the engine has loaded.
	checkInterval = 5 * time.Second
	// minOrderRetry and maxOrderRetry bound the time after a failed order.
	minOrderRetry     = 500 * time.Millisecond
	maxOrderRetry     = 30 * time.Second
	maxOrderDoublings = 6
	// numberBits is the shift of a sidecar's number in a fencing number, whose
	// lower bits hold the revision of the configuration.
	numberBits = 32
)

// Events of orders.
const (
	EventOrder  timeline.Kind = "engine-order"
	EventLoaded timeline.Kind = "engine-loaded"
	EventFenced timeline.Kind = "engine-fenced"
)

var ordersTotal = metrics.NewCounter("foxtailstack_upstream_orders_total")

// errNotLoaded means that the engine has not loaded what it was told to.
var errNotLoaded = errors.New("engine has not loaded what was ordered")

// DesiredState is what an engine is to have loaded, as the configuration declares.
type DesiredState struct {
	Revision foxtailstack.Revision
	Model    string
	Adapter  string
	Version  string
}

// loaded reports whether state is what is wanted.
func (w DesiredState) loaded(state foxtailstack.EngineState) bool {
	return state.Model == w.Model && state.Adapter == w.Adapter && state.Version == w.Version
}

// Reconciler orders the engine to load what the configuration declares.
//
// An order carries a fencing number, made up of the number of the sidecar and
// the revision of the configuration, so that an engine that checks it refuses
// the orders of earlier sidecars and revisions. For engines that do not, it is
// the table that is asked before each order whether a later sidecar has come.
// What the engine has loaded is looked at again every few seconds, so that an
// order of an earlier sidecar that slips through is undone. Without the table
// there are no orders.
type Reconciler struct {
	Epoch  *SidecarEpoch
	Engine foxtailstack.Engine
	// Desired returns what the engine is to have loaded, or false if it is not said.
	Desired func() (DesiredState, bool)
	// DesiredChanged returns a channel that is closed at the next change of Want.
	DesiredChanged func() <-chan struct{}
	Ring           *timeline.Ring
}

// Run reconciles the engine until ctx ends or a later sidecar has come.
func (r *Reconciler) Run(ctx context.Context) {
	failures := 0
	for {
		changed := r.DesiredChanged()
		err := r.reconcile(ctx)
		wait := checkInterval
		switch {
		case errors.Is(err, ErrSuperseded), errors.Is(err, foxtailstack.ErrEngineFenced):
			r.record(EventFenced, err.Error())
			return
		case err != nil:
			wait = min(minOrderRetry<<min(failures, maxOrderDoublings), maxOrderRetry)
			wait += rand.N(wait)
			failures++
		default:
			failures = 0
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// reconcile compares the engine with what is wanted and gives one order if they
// differ. What the engine has loaded afterwards decides, not its answer.
func (r *Reconciler) reconcile(ctx context.Context) error {
	want, ok := r.Desired()
	if !ok {
		return nil
	}
	state, err := r.Engine.State(ctx)
	if err != nil {
		return err
	}
	if want.loaded(state) {
		return nil
	}
	number, err := r.Epoch.Claim(ctx)
	if err != nil {
		return err
	}
	err = r.Epoch.CheckCurrent(ctx)
	if err != nil {
		return err
	}
	ordersTotal.Inc()
	r.record(EventOrder, want.Model+" "+want.Adapter+" "+want.Version)
	orderErr := r.Engine.Order(ctx, foxtailstack.EngineState{
		Model:   want.Model,
		Adapter: want.Adapter,
		Version: want.Version,
		Role:    state.Role,
		Fencing: foxtailstack.FencingToken(uint64(number)<<numberBits | uint64(want.Revision)),
	})
	if errors.Is(orderErr, foxtailstack.ErrEngineFenced) {
		return orderErr
	}
	state, err = r.Engine.State(ctx)
	switch {
	case err != nil:
		return err
	case !want.loaded(state):
		return errors.Join(errNotLoaded, orderErr)
	}
	r.record(EventLoaded, want.Version)
	return nil
}

// record records an event of the engine.
func (r *Reconciler) record(kind timeline.Kind, text string) {
	r.Ring.Record(timeline.Event{
		Kind:     kind,
		Upstream: r.Epoch.Upstream,
		Text:     text,
	})
}
