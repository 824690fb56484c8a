package expert

import (
	"context"
	"errors"

	"github.com/qmuntal/stateless"
)

// Phase is where a member stands in its life cycle.
type Phase uint8

// The phases of a member.
const (
	// Recovering members ask their peers and start no step.
	Recovering Phase = iota
	// Steady members start steps on the map that they know.
	Steady
	// Sealed members have said yes and do not know the outcome.
	Sealed
	// Retired members have been replaced by a later life.
	Retired
)

// String returns the name of p.
func (p Phase) String() string {
	return [...]string{"recovering", "steady", "sealed", "retired"}[p]
}

// trigger moves a member from one phase to the next.
type trigger uint8

const (
	triggerResolve trigger = iota
	triggerVote
	triggerSettle
	triggerRetire
)

// memberKey is the key of the member in the context of a transition.
type memberKey struct{}

// errNoMember means that a transition was fired without a member.
var errNoMember = errors.New("transition without a member")

// lifecycle holds the transitions that all members share; the phase itself is
// kept in each Member.
var lifecycle = newLifecycle()

// newLifecycle returns the state machine of the phases.
func newLifecycle() *stateless.StateMachine {
	read := func(ctx context.Context) (stateless.State, error) {
		m, ok := ctx.Value(memberKey{}).(*Member)
		if !ok {
			return nil, errNoMember
		}
		return m.phase, nil
	}
	write := func(ctx context.Context, state stateless.State) error {
		m, ok := ctx.Value(memberKey{}).(*Member)
		phase, valid := state.(Phase)
		if !ok || !valid {
			return errNoMember
		}
		m.phase = phase
		return nil
	}
	machine := stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	machine.Configure(Recovering).
		Permit(triggerResolve, Steady).
		Permit(triggerRetire, Retired)
	machine.Configure(Steady).
		Permit(triggerVote, Sealed).
		Permit(triggerRetire, Retired)
	machine.Configure(Sealed).
		Permit(triggerSettle, Steady).
		Permit(triggerRetire, Retired)
	machine.Configure(Retired).
		Ignore(triggerRetire)
	return machine
}

// fire moves m to its next phase. It panics on a transition that lifecycle does
// not permit, which would be a fault of this package.
func (m *Member) fire(t trigger) {
	err := lifecycle.FireCtx(context.WithValue(context.Background(), memberKey{}, m), t)
	if err != nil {
		panic(err)
	}
}
