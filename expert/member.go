package expert

import (
	"fmt"

	"github.com/foxtailstack/foxtailstack"
)

// Member is the state machine of one rank in the switch protocol. It does no
// input or output: the caller passes received messages to Handle, calls Tick at
// a steady rate and sends the messages that TakeMessages returns. It is not safe
// for concurrent use.
type Member struct {
	rank       foxtailstack.Rank
	size       int
	generation Generation
	phase      Phase
	// generations are the latest generations seen, indexed by rank; zero if none
	// has been seen. Messages of earlier generations are rejected.
	generations []Generation
	state       State
	// inDoubt is the attempt that the rank has voted yes in, while the phase is
	// InDoubt.
	inDoubt VoteRecord
	// hasAttempt are the peers known to have the attempt in inDoubt.
	hasAttempt RankSet
	staged     Proposal
	// startedThisGeneration is the highest step started in this generation,
	// while state.HighestStarted includes earlier generations.
	startedThisGeneration foxtailstack.Step
	// tickCount counts ticks, for the choice of the peers to send votes to.
	tickCount int
	recovery  recovery
	outbox    []Message
	events    []MemberEvent
}

// MemberEventKind names a kind of MemberEvent.
type MemberEventKind string

// Kinds of the events of a member. The values are shown in the time line and stay
// as they are.
const (
	MemberRecovered MemberEventKind = "expert-resolve"
	MemberVotedYes  MemberEventKind = "expert-yes"
	MemberVotedNo   MemberEventKind = "expert-no"
	MemberSwitched  MemberEventKind = "expert-switch"
	MemberKeptMap   MemberEventKind = "expert-keep"
	MemberRetired   MemberEventKind = "expert-retire"
)

// MemberEvent is an event of a member, to be recorded in the time line.
type MemberEvent struct {
	Kind MemberEventKind
	// Ballot is that of the attempt; for MemberRecovered the highest one that a peer
	// has sent as its State.Ballot, for MemberRetired the State.Ballot of the member.
	Ballot Ballot
	// Step is the first step on the new map of the attempt, or HighestStarted
	// for MemberRecovered and MemberRetired.
	Step foxtailstack.Step
	// Reaffirmed means that a yes vote repeats the one of an earlier generation.
	// The time line does not show it.
	Reaffirmed bool
}

// NewMember returns a member that recovers the state of the group from its peers
// first. It returns ErrInvalidGroup unless 1 <= size <= MaxRanks, 0 <= rank <
// size and generation > 0.
func NewMember(rank foxtailstack.Rank, size int, generation Generation) (*Member, error) {
	if size < 1 || size > MaxRanks || rank < 0 || int(rank) >= size || generation == 0 {
		return nil, fmt.Errorf("%w: rank %d of %d, generation %d", ErrInvalidGroup, rank, size, generation)
	}
	m := &Member{
		rank:        rank,
		size:        size,
		generation:  generation,
		generations: make([]Generation, size),
	}
	m.generations[rank] = generation
	m.startRecovery()
	return m, nil
}

// Phase returns the phase of m.
func (m *Member) Phase() Phase {
	return m.phase
}

// Generation returns the generation of m, which may increase while m is
// Recovering.
func (m *Member) Generation() Generation {
	return m.generation
}

// State returns what m knows of the maps of its group. Undecided holds the
// attempt in doubt in phase InDoubt and is empty otherwise. While m is Recovering
// the State is empty: what has been collected so far is not included.
func (m *Member) State() State {
	state := m.state
	if m.phase == InDoubt {
		state.Undecided = []VoteRecord{m.inDoubt}
	}
	return state
}

// TakeMessages returns the messages to send and clears them.
func (m *Member) TakeMessages() []Message {
	messages := m.outbox
	m.outbox = nil
	return messages
}

// TakeEvents returns the events since the last call and clears them.
func (m *Member) TakeEvents() []MemberEvent {
	events := m.events
	m.events = nil
	return events
}

// Begin returns the epoch of the map for a step. While it returns false, the
// rank must not start the step and has to ask again later.
func (m *Member) Begin(step foxtailstack.Step) (foxtailstack.Epoch, bool) {
	switch m.phase {
	case Recovering, Retired:
		return 0, false
	case InDoubt:
		if step >= m.inDoubt.Attempt.FirstStep {
			return 0, false
		}
	}
	m.startedThisGeneration = max(m.startedThisGeneration, step)
	m.state.HighestStarted = max(m.state.HighestStarted, step)
	if step < m.state.FirstStep {
		return m.state.PreviousEpoch, true
	}
	return m.state.Epoch, true
}

// Stage sets the map whose weights the rank has loaded, so that it may vote for
// it. The zero Proposal withdraws it for later attempts.
func (m *Member) Stage(p Proposal) {
	m.staged = p
}

// StagingReport returns the report to a proposer.
func (m *Member) StagingReport() StagingReport {
	return StagingReport{
		Epoch:          m.staged.Epoch,
		Digest:         m.staged.Digest,
		Base:           m.state.Epoch,
		HighestStarted: m.state.HighestStarted,
	}
}

// StartAttempt starts an attempt with the yes vote of this rank. It returns
// ErrBusy if the rank cannot vote yes in it.
func (m *Member) StartAttempt(a *Attempt) error {
	if m.phase != Steady || !m.canVoteYes(a) {
		return fmt.Errorf("%w: rank %d is %s, attempt of epoch %d, try %d, on base epoch %d", ErrBusy, m.rank, m.phase, a.Ballot.Epoch, a.Ballot.Try, a.Base)
	}
	m.voteYes(VoteRecord{
		Attempt: a,
		ID:      a.ID(),
	}, false)
	return nil
}

// Tick resends messages that peers may have missed. The rate at which the caller
// calls it limits the message rate of a switch.
func (m *Member) Tick() {
	m.tickCount++
	switch m.phase {
	case Recovering:
		m.sendStateRequests()
	case InDoubt:
		m.gossipVotes()
	}
}

// Handle processes a message from a peer.
func (m *Member) Handle(msg Message) {
	if msg.From < 0 || int(msg.From) >= m.size || msg.From == m.rank || m.phase == Retired {
		return
	}
	if msg.Outdated != nil {
		m.handleOutdated(*msg.Outdated)
		return
	}
	if msg.Generation < m.generations[msg.From] {
		m.send(msg.From, Message{Outdated: &Outdated{
			RejectedGeneration: msg.Generation,
			LatestGeneration:   m.generations[msg.From],
		}})
		return
	}
	m.observeGeneration(msg.From, msg.Generation)
	switch {
	case msg.StateRequest != nil:
		m.sendStateResponse(msg.From, msg.Generation, *msg.StateRequest)
	case msg.StateResponse != nil && m.phase == Recovering:
		m.handleStateResponse(msg.From, *msg.StateResponse)
	case msg.Votes != nil && m.phase != Recovering:
		m.handleVotes(msg.From, *msg.Votes)
	}
}

// observeGeneration records a generation of a peer. From then on, messages of
// its earlier generations are rejected, and so are their votes that other peers
// pass on. A new generation ends a round that confirms a cold start, and the
// next round begins: the round must show that all ranks knew of no map at the
// same time, and the earlier generation that responded runs no longer.
func (m *Member) observeGeneration(peer foxtailstack.Rank, generation Generation) {
	if generation <= m.generations[peer] {
		return
	}
	m.generations[peer] = generation
	m.hasAttempt.Remove(peer)
	m.recovery.responded.Remove(peer)
	if m.recovery.confirmsColdStart() {
		m.recovery.nextRound()
	}
}

// handleOutdated processes the notice that a peer has seen a later generation of
// this rank. A member that has recovered retires. One that still recovers has
// not voted or started a step yet; therefore it can restart recovery with a
// generation later than the one seen.
func (m *Member) handleOutdated(o Outdated) {
	if o.RejectedGeneration != m.generation || o.LatestGeneration <= m.generation {
		return
	}
	if m.phase != Recovering {
		m.fire(triggerRetire)
		m.recordEvent(MemberRetired, m.state.Ballot, m.state.HighestStarted, false)
		return
	}
	m.generation = o.LatestGeneration + 1
	m.generations[m.rank] = m.generation
	m.startRecovery()
}

// send queues a message for a peer.
func (m *Member) send(to foxtailstack.Rank, msg Message) {
	msg.From = m.rank
	msg.To = to
	msg.Generation = m.generation
	m.outbox = append(m.outbox, msg)
}

// recordEvent queues an event.
func (m *Member) recordEvent(kind MemberEventKind, ballot Ballot, step foxtailstack.Step, reaffirmed bool) {
	m.events = append(m.events, MemberEvent{
		Kind:       kind,
		Ballot:     ballot,
		Step:       step,
		Reaffirmed: reaffirmed,
	})
}
