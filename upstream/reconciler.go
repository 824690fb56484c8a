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
	// checkInterval is the time between two checks of the state of the engine.
	checkInterval = 5 * time.Second
	// minOrderRetry and maxOrderRetry bound the backoff after a failed reconciliation; it
	// doubles at most maxOrderDoublings times. Jitter adds up to as much again, so that
	// the longest backoff is 60 s.
	minOrderRetry     = 500 * time.Millisecond
	maxOrderRetry     = 30 * time.Second
	maxOrderDoublings = 6
	// epochShift is the position of the sidecar's epoch in a fencing token, whose lower
	// bits hold the revision of the configuration.
	epochShift = 32
)

// Events of orders.
const (
	EventOrder  timeline.Kind = "engine-order"
	EventLoaded timeline.Kind = "engine-loaded"
	EventFenced timeline.Kind = "engine-fenced"
)

var ordersTotal = metrics.NewCounter("foxtailstack_upstream_orders_total")

// errNotLoaded means that the state of the engine differs from the desired state after
// an order.
var errNotLoaded = errors.New("engine has not loaded what was ordered")

// DesiredState is the model that the configuration wants an engine to have loaded.
type DesiredState struct {
	Revision foxtailstack.Revision
	Model    string
	Adapter  string
	Version  string
}

// matches reports whether the engine has loaded the desired model, adapter and version.
func (d DesiredState) matches(state foxtailstack.EngineState) bool {
	return state.Model == d.Model && state.Adapter == d.Adapter && state.Version == d.Version
}

// Reconciler orders the engine to load what the configuration declares.
//
// An order carries a fencing token, composed of the epoch of the sidecar and the
// revision of the configuration. An engine that checks fencing tokens refuses the
// orders of earlier sidecars and revisions. Not all engines check them. The reconciler
// therefore checks in the table before each order that no later sidecar exists, and
// compares the state of the engine with the desired one every checkInterval. If they
// differ it orders again, which undoes an order of an earlier sidecar that slipped
// through. It gives no orders while the table is unavailable.
type Reconciler struct {
	Epoch  *SidecarEpoch
	Engine foxtailstack.Engine
	// Desired returns the desired state, or false if the configuration declares none.
	Desired func() (DesiredState, bool)
	// DesiredChanged returns a channel that is closed when the result of Desired changes.
	DesiredChanged func() <-chan struct{}
	Ring           *timeline.Ring
}

// Run reconciles the engine until ctx ends, a later sidecar has claimed its epoch or the
// engine refuses an order because of its fencing token.
func (r *Reconciler) Run(ctx context.Context) {
	failures := 0
	for {
		changed := r.DesiredChanged()
		err := r.reconcile(ctx)
		wait := checkInterval
		switch {
		case errors.Is(err, ErrSuperseded), errors.Is(err, foxtailstack.ErrEngineFenced):
			r.recordEvent(EventFenced, err.Error())
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

// reconcile gives one order if the state of the engine differs from the desired one. It
// succeeds if the engine has the desired state afterwards, whatever it replied to the
// order.
func (r *Reconciler) reconcile(ctx context.Context) error {
	want, ok := r.Desired()
	if !ok {
		return nil
	}
	state, err := r.Engine.State(ctx)
	if err != nil {
		return err
	}
	if want.matches(state) {
		return nil
	}
	epoch, err := r.Epoch.Claim(ctx)
	if err != nil {
		return err
	}
	err = r.Epoch.CheckCurrent(ctx)
	if err != nil {
		return err
	}
	ordersTotal.Inc()
	r.recordEvent(EventOrder, want.Model+" "+want.Adapter+" "+want.Version)
	orderErr := r.Engine.Order(ctx, foxtailstack.EngineState{
		Model:   want.Model,
		Adapter: want.Adapter,
		Version: want.Version,
		Role:    state.Role,
		Fencing: foxtailstack.FencingToken(uint64(epoch)<<epochShift | uint64(want.Revision)),
	})
	if errors.Is(orderErr, foxtailstack.ErrEngineFenced) {
		return orderErr
	}
	state, err = r.Engine.State(ctx)
	switch {
	case err != nil:
		return err
	case !want.matches(state):
		return errors.Join(errNotLoaded, orderErr)
	}
	r.recordEvent(EventLoaded, want.Version)
	return nil
}

// recordEvent adds an event of the engine to the time line.
func (r *Reconciler) recordEvent(kind timeline.Kind, text string) {
	r.Ring.Record(timeline.Event{
		Kind:     kind,
		Upstream: r.Epoch.Upstream,
		Text:     text,
	})
}
