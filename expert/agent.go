package expert

import (
	"context"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/timeline"
)

const (
	// tickInterval is the time between two ticks of an Agent.
	tickInterval = 50 * time.Millisecond
	// defaultLead is the number of steps between an attempt and its step.
	defaultLead = 40
	// inboxSize is the number of messages that wait for the control goroutine.
	inboxSize = 1024
)

// Events of an agent's staging; those of its member are named by NoteKind.
const (
	EventPropose timeline.Kind = "expert-propose"
	EventStage   timeline.Kind = "expert-stage"
	EventUnstage timeline.Kind = "expert-unstage"
)

// Transport sends messages to other ranks. Messages may be lost, late, repeated
// and reordered. Send must not wait.
type Transport interface {
	Send(msg Message)
}

// Agent is the part of one rank's sidecar in its group: the goroutine of Run
// owns the member, others talk to it by channels.
type Agent struct {
	Transport Transport
	Store     Store
	Weights   foxtailstack.WeightStore
	Ring      *timeline.Ring
	// InitialMap is the map of epoch zero, which all ranks start with.
	InitialMap foxtailstack.ExpertMap
	// Lead is how many steps ahead attempts take effect; zero means 40.
	Lead foxtailstack.Step

	member   *Member
	proposer Proposer
	inbox    chan Message
	begins   chan begin
	propose  chan Proposal
	staged   chan Proposal
	done     chan struct{}
	staging  Proposal
	stop     context.CancelFunc
}

// begin asks for the map of a step.
type begin struct {
	step  foxtailstack.Step
	reply chan began
}

// began answers a begin.
type began struct {
	epoch foxtailstack.Epoch
	ok    bool
}

// Init prepares a for its rank. It returns ErrGroup as NewMember does.
func (a *Agent) Init(rank foxtailstack.Rank, size int) error {
	member, err := NewMember(rank, size, Life(time.Now().UnixNano()))
	if err != nil {
		return err
	}
	a.member = member
	a.proposer.Lead = a.Lead
	if a.Lead == 0 {
		a.proposer.Lead = defaultLead
	}
	a.inbox = make(chan Message, inboxSize)
	a.begins = make(chan begin)
	a.propose = make(chan Proposal)
	a.staged = make(chan Proposal)
	a.done = make(chan struct{})
	return nil
}

// Receive takes a message from a peer. It drops it if too many wait.
func (a *Agent) Receive(msg Message) {
	select {
	case a.inbox <- msg:
	default:
	}
}

// BeginStep returns the epoch of the map for a step. While it reports false the rank
// must not start the step, and asks again later.
func (a *Agent) BeginStep(step foxtailstack.Step) (foxtailstack.Epoch, bool) {
	reply := make(chan began, 1)
	request := begin{
		step:  step,
		reply: reply,
	}
	select {
	case a.begins <- request:
		answer := <-reply
		return answer.epoch, answer.ok
	case <-a.done:
		return 0, false
	}
}

// Propose writes a map into the table, under its epoch, and brings it to a vote.
// It returns ErrProposed if the epoch has another map and ErrStore if the table
// does not answer; then nothing has begun.
func (a *Agent) Propose(ctx context.Context, m foxtailstack.ExpertMap) error {
	proposal, err := a.Store.Put(ctx, m)
	if err != nil {
		return err
	}
	select {
	case a.propose <- proposal:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("propose epoch %d: %w", m.Epoch, ctx.Err())
	case <-a.done:
		return fmt.Errorf("%w: agent has stopped", ErrBusy)
	}
}

// Run owns the member until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ctx, a.stop = context.WithCancel(ctx)
	defer close(a.done)
	defer a.stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-a.inbox:
			a.handle(ctx, msg)
		case request := <-a.begins:
			epoch, ok := a.member.Begin(request.step)
			request.reply <- began{
				epoch: epoch,
				ok:    ok,
			}
		case proposal := <-a.propose:
			a.record(EventPropose, fmt.Sprintf("epoch=%d", proposal.Epoch))
			a.proposer.Propose(time.Now(), proposal, a.member.size)
			a.stage(ctx, proposal)
		case proposal := <-a.staged:
			a.record(EventStage, fmt.Sprintf("epoch=%d", proposal.Epoch))
			a.member.Stage(proposal)
			a.proposer.Report(a.member.rank, a.member.life, a.member.Staged())
		case <-ticker.C:
			a.member.Tick()
			a.proposer.Tick(time.Now(), a.member)
		}
		a.flush()
	}
}

// handle takes a message.
func (a *Agent) handle(ctx context.Context, msg Message) {
	if msg.From < 0 || int(msg.From) >= a.member.size {
		return
	}
	switch {
	case msg.Proposal != nil:
		a.proposed(ctx, msg)
	case msg.Staged != nil:
		a.proposer.Report(msg.From, msg.Life, *msg.Staged)
	default:
		a.member.Handle(msg)
	}
}

// proposed reports to a proposer, or begins to stage its map.
func (a *Agent) proposed(ctx context.Context, msg Message) {
	if a.member.Phase() == Recovering || msg.Proposal.Epoch <= a.member.state.Epoch {
		return
	}
	if a.member.staged != *msg.Proposal {
		a.stage(ctx, *msg.Proposal)
		return
	}
	staged := a.member.Staged()
	a.member.send(msg.From, Message{Staged: &staged})
}

// flush sends the messages of the member and records what it has done.
func (a *Agent) flush() {
	for _, msg := range a.member.Take() {
		a.Transport.Send(msg)
	}
	for _, n := range a.member.Notes() {
		a.proposer.Note(n, a.member.size)
		if n.Kind == NoteKeep || n.Kind == NoteNo {
			a.proposer.Report(a.member.rank, a.member.life, a.member.Staged())
		}
		a.record(timeline.Kind(n.Kind), fmt.Sprintf("epoch=%d try=%d step=%d", n.Ballot.Epoch, n.Ballot.Try, n.Step))
	}
}

// record records an event of the group.
func (a *Agent) record(kind timeline.Kind, text string) {
	a.Ring.Record(timeline.Event{
		Kind:     kind,
		Resource: fmt.Sprintf("%s/%d", a.Store.Group, a.member.rank),
		Text:     text,
	})
}
