package booking

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// stage is a state of an attempt in a Ledger.
type stage string

const (
	// reserved may start until its reservation lapses.
	reserved stage = "reserved"
	// started may have reached the engine.
	started stage = "started"
	// finished has an answer that is not in the table yet.
	finished stage = "finished"
	// recorded has its outcome in the table.
	recorded stage = "recorded"
	// failed broke off, so that it is not known whether it ran.
	failed stage = "failed"
	// barred has not run and never will.
	barred stage = "barred"
)

// trigger moves an attempt from one stage to another.
type trigger string

const (
	triggerStart  trigger = "start"
	triggerFinish trigger = "finish"
	triggerRecord trigger = "record"
	triggerFail   trigger = "fail"
	triggerRefuse trigger = "refuse"
	triggerBar    trigger = "bar"
)

// entry is what a Ledger knows of one attempt.
type entry struct {
	stage   stage
	expires time.Time
	// known is closed once the outcome is Ran and recorded, Unknown or NotRun.
	known chan struct{}
}

// entryKey is the key of the entry in the context of a transition.
type entryKey struct{}

// entryOf returns the entry in the context of a transition.
func entryOf(ctx context.Context) *entry {
	e, _ := ctx.Value(entryKey{}).(*entry)
	return e
}

// lifeCycle is the state machine of all attempts; the state itself is in the
// entry that the context carries.
var lifeCycle = newLifeCycle()

// newLifeCycle returns the state machine of an attempt.
func newLifeCycle() *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return entryOf(ctx).stage, nil },
		func(ctx context.Context, state stateless.State) error {
			entryOf(ctx).stage, _ = state.(stage)
			return nil
		},
		stateless.FiringImmediate,
	)
	inTime := func(ctx context.Context, _ ...any) bool { return !time.Now().After(entryOf(ctx).expires) }
	settle := func(ctx context.Context, _ ...any) error {
		close(entryOf(ctx).known)
		return nil
	}
	machine.Configure(reserved).
		Permit(triggerStart, started, inTime).
		Permit(triggerBar, barred)
	machine.Configure(started).
		Permit(triggerFinish, finished).
		Permit(triggerFail, failed).
		Permit(triggerRefuse, barred)
	machine.Configure(finished).
		Permit(triggerRecord, recorded).
		Permit(triggerFail, failed)
	machine.Configure(failed).OnEntry(settle).Ignore(triggerRecord)
	machine.Configure(recorded).OnEntry(settle)
	machine.Configure(barred).OnEntry(settle).Ignore(triggerBar)
	return machine
}

// fire moves an entry. It returns ErrBarred if its stage does not allow that.
// The caller holds the lock of the ledger.
func (e *entry) fire(t trigger) error {
	err := lifeCycle.FireCtx(context.WithValue(context.Background(), entryKey{}, e), t)
	if err != nil {
		return ErrBarred
	}
	return nil
}
