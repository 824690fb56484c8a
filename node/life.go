package node

import (
	"context"
	"sync/atomic"

	"github.com/qmuntal/stateless"
	"go.uber.org/zap"
)

// Phase is a state in the life of a process.
type Phase string

// The phases of a process, in their order.
const (
	Starting Phase = "starting"
	Serving  Phase = "serving"
	Draining Phase = "draining"
	Stopped  Phase = "stopped"
)

// step is what moves a process from one phase to the next.
type step string

// The steps of a process.
const (
	stepServe step = "serve"
	stepDrain step = "drain"
	stepStop  step = "stop"
)

// life is the life cycle of a process. Any goroutine may ask for its phase.
type life struct {
	machine *stateless.StateMachine
	phase   atomic.Value
}

// newLife returns the life of a process that starts.
func newLife(log *zap.Logger) *life {
	l := &life{}
	l.phase.Store(Starting)
	l.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return l.Phase(), nil },
		func(_ context.Context, state stateless.State) error {
			l.phase.Store(state)
			return nil
		},
		stateless.FiringQueued,
	)
	l.machine.Configure(Starting).
		Permit(stepServe, Serving).
		Permit(stepDrain, Draining).
		Permit(stepStop, Stopped)
	l.machine.Configure(Serving).
		Ignore(stepServe).
		Permit(stepDrain, Draining).
		Permit(stepStop, Stopped)
	l.machine.Configure(Draining).
		Ignore(stepServe).
		Ignore(stepDrain).
		Permit(stepStop, Stopped)
	l.machine.Configure(Stopped).
		Ignore(stepServe).
		Ignore(stepDrain).
		Ignore(stepStop)
	l.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		log.Info("phase changed", zap.Any("from", t.Source), zap.Any("to", t.Destination))
	})
	return l
}

// Phase returns the present phase.
func (l *life) Phase() Phase {
	phase, _ := l.phase.Load().(Phase)
	return phase
}

// fire takes a step. One that the phase does not permit has no effect.
func (l *life) fire(s step) {
	_ = l.machine.Fire(s) // every phase permits or ignores every step
}
