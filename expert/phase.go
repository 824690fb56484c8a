package expert

import (
	"context"
	"errors"

	"github.com/qmuntal/stateless"
)

// Phase is the phase of a member in its life cycle.
type Phase uint8

// The phases of a member.
const (
	// Recovering members collect the state of the group from their peers and
	// start no step.
	Recovering Phase = iota
	// Steady members start steps on the map in use.
	Steady
	// InDoubt members have voted yes in an attempt and do not know its outcome.
	// String returns "sealed" for this phase, the name that logs show.
	InDoubt
	// Retired members have been superseded by a later generation of their rank.
	Retired
)

// String returns the name of p.
func (p Phase) String() string {
	return [...]string{"recovering", "steady", "sealed", "retired"}[p]
}

// trigger causes a transition of a member from one phase to another.
type trigger uint8

const (
	// triggerRecovered: the state of the group has been collected.
	triggerRecovered trigger = iota
	// triggerVotedYes: the rank has voted yes in an attempt.
	triggerVotedYes
	// triggerDecided: the attempt in doubt has committed or aborted.
	triggerDecided
	// triggerRetire: a peer has seen a later generation of the rank.
	triggerRetire
)

// memberKey is the key of the member in the context of a transition.
type memberKey struct{}

// errNoMember means that a transition was fired without a member in its context,
// or to a state that is not a Phase.
var errNoMember = errors.New("transition without a member or to an invalid phase")

// lifecycle holds the permitted transitions, which all members share. The phase
// itself is stored in each Member.
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
		Permit(triggerRecovered, Steady).
		Permit(triggerRetire, Retired)
	machine.Configure(Steady).
		Permit(triggerVotedYes, InDoubt).
		Permit(triggerRetire, Retired)
	machine.Configure(InDoubt).
		Permit(triggerDecided, Steady).
		Permit(triggerRetire, Retired)
	machine.Configure(Retired).
		Ignore(triggerRetire)
	return machine
}

// fire makes the transition of m that t causes. It panics if lifecycle does not
// permit the transition, which would be a fault of this package.
func (m *Member) fire(t trigger) {
	err := lifecycle.FireCtx(context.WithValue(context.Background(), memberKey{}, m), t)
	if err != nil {
		panic(err)
	}
}
