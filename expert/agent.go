package expert

import (
	"context"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/timeline"
)

const (
	// tickInterval is the time between two ticks of an Agent's member and
	// proposer.
	tickInterval = 50 * time.Millisecond
	// defaultLead is the number of steps from the highest one started to the
	// first step on the new map in the first attempt, if Agent.Lead is zero.
	defaultLead = 40
	// inboxSize is the number of received messages that may wait for the
	// goroutine of Run.
	inboxSize = 1024
)

// Kinds of the events of staging in the time line. MemberEventKind names those
// of the switch protocol. No code records EventUnstage.
const (
	EventPropose timeline.Kind = "expert-propose"
	EventStage   timeline.Kind = "expert-stage"
	EventUnstage timeline.Kind = "expert-unstage"
)

// Transport sends messages to other ranks. Messages may be lost, delayed,
// duplicated and reordered. Send must not block.
type Transport interface {
	Send(msg Message)
}

// Agent runs one rank's part of the switch protocol in the sidecar. Init it
// first, then call Run. The goroutine of Run owns the member; other goroutines
// reach it through channels.
type Agent struct {
	Transport Transport
	Store     Store
	Weights   foxtailstack.WeightStore
	Ring      *timeline.Ring
	// InitialMap is the map of epoch zero, which all ranks start with.
	InitialMap foxtailstack.ExpertMap
	// Lead is the number of steps from the highest one that any rank has reported
	// as started to the first step on the new map, in the first attempt. It
	// doubles with each try; zero means 40.
	Lead foxtailstack.Step

	member   *Member
	proposer Proposer
	// Run receives from inbox, which Receive sends to, from stepRequests, which
	// Begin sends to, from proposals, which Propose sends to, and from
	// stagedProposals, which the goroutines of startStaging send to when the
	// weights are loaded.
	inbox           chan Message
	stepRequests    chan stepRequest
	proposals       chan Proposal
	stagedProposals chan Proposal
	// done is closed when Run ends.
	done chan struct{}
	// staging is the proposal whose staging was started last.
	staging Proposal
	// cancel ends the context of Run. Only Run uses it.
	cancel context.CancelFunc
}

// stepRequest asks the goroutine of Run for the map of a step.
type stepRequest struct {
	step  foxtailstack.Step
	reply chan stepReply
}

// stepReply is the reply to a stepRequest.
type stepReply struct {
	epoch foxtailstack.Epoch
	ok    bool
}

// Init creates the member and the channels of a for its rank in a group of size
// ranks. It returns ErrInvalidGroup as NewMember does.
func (a *Agent) Init(rank foxtailstack.Rank, size int) error {
	member, err := NewMember(rank, size, Generation(time.Now().UnixNano()))
	if err != nil {
		return err
	}
	a.member = member
	a.proposer.Lead = a.Lead
	if a.Lead == 0 {
		a.proposer.Lead = defaultLead
	}
	a.inbox = make(chan Message, inboxSize)
	a.stepRequests = make(chan stepRequest)
	a.proposals = make(chan Proposal)
	a.stagedProposals = make(chan Proposal)
	a.done = make(chan struct{})
	return nil
}

// Receive queues a message from a peer for Run. It drops the message if the
// queue is full.
func (a *Agent) Receive(msg Message) {
	select {
	case a.inbox <- msg:
	default:
	}
}

// Begin returns the epoch of the map for a step. While it returns false, the rank
// must not start the step and has to ask again later. It blocks until Run is
// called, and returns false after Run has ended.
func (a *Agent) Begin(step foxtailstack.Step) (foxtailstack.Epoch, bool) {
	reply := make(chan stepReply, 1)
	request := stepRequest{
		step:  step,
		reply: reply,
	}
	select {
	case a.stepRequests <- request:
		response := <-reply
		return response.epoch, response.ok
	case <-a.done:
		return 0, false
	}
}

// Propose stores a map under its epoch and starts to propose it to the group. It
// blocks until Run receives the proposal, Run ends or ctx ends. It returns
// ErrEpochTaken if another map is stored under the epoch and ErrStore if the
// table fails; nothing has been proposed then, but with ErrStore the map may
// have been stored. It returns the error of ctx, or ErrBusy if Run has ended;
// the map has been stored then, but not proposed.
func (a *Agent) Propose(ctx context.Context, m foxtailstack.ExpertMap) error {
	proposal, err := a.Store.Put(ctx, m)
	if err != nil {
		return err
	}
	select {
	case a.proposals <- proposal:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("propose epoch %d: %w", m.Epoch, ctx.Err())
	case <-a.done:
		return fmt.Errorf("%w: agent has stopped", ErrBusy)
	}
}

// Run processes messages, steps, proposals and ticks until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ctx, a.cancel = context.WithCancel(ctx)
	defer close(a.done)
	defer a.cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-a.inbox:
			a.handle(ctx, msg)
		case request := <-a.stepRequests:
			epoch, ok := a.member.Begin(request.step)
			request.reply <- stepReply{
				epoch: epoch,
				ok:    ok,
			}
		case proposal := <-a.proposals:
			a.recordEvent(EventPropose, fmt.Sprintf("epoch=%d", proposal.Epoch))
			a.proposer.Propose(time.Now(), proposal, a.member.size)
			a.startStaging(ctx, proposal)
		case proposal := <-a.stagedProposals:
			a.recordEvent(EventStage, fmt.Sprintf("epoch=%d", proposal.Epoch))
			a.member.Stage(proposal)
			a.proposer.RecordStaging(a.member.rank, a.member.generation, a.member.StagingReport())
		case <-ticker.C:
			a.member.Tick()
			a.proposer.Tick(time.Now(), a.member)
		}
		a.flush()
	}
}

// handle passes a message from a peer to the proposer or to the member.
func (a *Agent) handle(ctx context.Context, msg Message) {
	if msg.From < 0 || int(msg.From) >= a.member.size {
		return
	}
	switch {
	case msg.Proposal != nil:
		a.handleProposal(ctx, msg)
	case msg.StagingReport != nil:
		a.proposer.RecordStaging(msg.From, msg.Generation, *msg.StagingReport)
	default:
		a.member.Handle(msg)
	}
}

// handleProposal answers a proposal with a staging report if its weights are
// loaded, and otherwise starts to load them. It ignores a proposal while the
// member recovers, and one whose epoch is not after that of the map in use.
func (a *Agent) handleProposal(ctx context.Context, msg Message) {
	if a.member.Phase() == Recovering || msg.Proposal.Epoch <= a.member.state.Epoch {
		return
	}
	if a.member.staged != *msg.Proposal {
		a.startStaging(ctx, *msg.Proposal)
		return
	}
	staged := a.member.StagingReport()
	a.member.send(msg.From, Message{StagingReport: &staged})
}

// flush sends the queued messages of the member, and records its events in the
// time line and passes them to the proposer. After a kept map or a no vote it
// records the staging report of this rank again: the proposer may have discarded
// all reports, and sends no proposal to its own rank.
func (a *Agent) flush() {
	for _, msg := range a.member.TakeMessages() {
		a.Transport.Send(msg)
	}
	for _, event := range a.member.TakeEvents() {
		a.proposer.HandleEvent(event, a.member.size)
		if event.Kind == MemberKeptMap || event.Kind == MemberVotedNo {
			a.proposer.RecordStaging(a.member.rank, a.member.generation, a.member.StagingReport())
		}
		a.recordEvent(timeline.Kind(event.Kind), fmt.Sprintf("epoch=%d try=%d step=%d", event.Ballot.Epoch, event.Ballot.Try, event.Step))
	}
}

// recordEvent adds an event of this rank to the time line.
func (a *Agent) recordEvent(kind timeline.Kind, text string) {
	a.Ring.Record(timeline.Event{
		Kind:     kind,
		Resource: fmt.Sprintf("%s/%d", a.Store.Group, a.member.rank),
		Text:     text,
	})
}
