package expert

import (
	"fmt"

	"github.com/foxtailstack/foxtailstack"
)

// Member is the part of one rank in the switch protocol. It does no input or
// output: the caller hands it messages and ticks and sends what Take returns.
// It is not safe for concurrent use.
type Member struct {
	rank  foxtailstack.Rank
	size  int
	life  Life
	phase Phase
	// known are the latest lives heard of; former ones are barred.
	known []Life
	state State
	// sealed is the attempt that the rank has said yes to, while Sealed.
	sealed Held
	// told are the peers that have the attempt in sealed.
	told   Ranks
	staged Proposal
	// began is the highest step that this life has started.
	began foxtailstack.Step
	// turn counts ticks, for the choice of peers.
	turn    int
	recover recovery
	out     []Message
	notes   []Note
}

// NoteKind names what a member has done.
type NoteKind string

// The kinds of notes.
const (
	NoteResolve NoteKind = "expert-resolve"
	NoteYes     NoteKind = "expert-yes"
	NoteNo      NoteKind = "expert-no"
	NoteSwitch  NoteKind = "expert-switch"
	NoteKeep    NoteKind = "expert-keep"
	NoteRetire  NoteKind = "expert-retire"
)

// Note is something that a member has done, for the time line.
type Note struct {
	Kind   NoteKind
	Ballot Ballot
	Step   foxtailstack.Step
	// Stand tells that a yes is that of a former life.
	Stand bool
}

// NewMember returns a member that has just started and asks its peers. It
// returns ErrGroup unless 1 <= size <= MaxRanks, 0 <= rank < size and life > 0.
func NewMember(rank foxtailstack.Rank, size int, life Life) (*Member, error) {
	if size < 1 || size > MaxRanks || rank < 0 || int(rank) >= size || life == 0 {
		return nil, fmt.Errorf("%w: rank %d of %d, life %d", ErrGroup, rank, size, life)
	}
	m := &Member{
		rank:  rank,
		size:  size,
		life:  life,
		known: make([]Life, size),
	}
	m.known[rank] = life
	m.restart()
	return m, nil
}

// Phase returns where m stands.
func (m *Member) Phase() Phase {
	return m.phase
}

// Life returns the life of m, which may rise while it is Recovering.
func (m *Member) Life() Life {
	return m.life
}

// State returns what m knows of the maps of its group.
func (m *Member) State() State {
	state := m.state
	if m.phase == Sealed {
		state.Held = []Held{m.sealed}
	}
	return state
}

// Take returns the messages to send and forgets them.
func (m *Member) Take() []Message {
	out := m.out
	m.out = nil
	return out
}

// Notes returns what m has done and forgets it.
func (m *Member) Notes() []Note {
	notes := m.notes
	m.notes = nil
	return notes
}

// Begin asks for the epoch of the map for a step. While it reports false the
// rank must not start the step, and asks again later.
func (m *Member) Begin(step foxtailstack.Step) (foxtailstack.Epoch, bool) {
	switch m.phase {
	case Recovering, Retired:
		return 0, false
	case Sealed:
		if step >= m.sealed.Attempt.Step {
			return 0, false
		}
	}
	m.began = max(m.began, step)
	m.state.Started = max(m.state.Started, step)
	if step < m.state.Since {
		return m.state.Prev, true
	}
	return m.state.Epoch, true
}

// Stage tells m that the rank has the weights of a map and can go on with it.
// The zero Proposal takes that back for attempts to come.
func (m *Member) Stage(p Proposal) {
	m.staged = p
}

// Staged returns what m reports to a proposer.
func (m *Member) Staged() Staged {
	return Staged{
		Epoch:   m.staged.Epoch,
		Digest:  m.staged.Digest,
		Base:    m.state.Epoch,
		Started: m.state.Started,
	}
}

// Attempt begins an attempt by the yes of this rank. It returns ErrBusy if the
// rank cannot say yes to it.
func (m *Member) Attempt(a *Attempt) error {
	if m.phase != Steady || !m.agrees(a) {
		return fmt.Errorf("%w: rank %d is %s", ErrBusy, m.rank, m.phase)
	}
	m.seal(Held{
		Attempt: a,
		ID:      a.ID(),
	}, false)
	return nil
}

// Tick sends again what peers may have missed. The caller calls it at a steady
// rate, which bounds the messages of a switch.
func (m *Member) Tick() {
	m.turn++
	switch m.phase {
	case Recovering:
		m.inquire()
	case Sealed:
		m.spread()
	}
}

// Handle takes a message from a peer.
func (m *Member) Handle(msg Message) {
	if msg.From < 0 || int(msg.From) >= m.size || msg.From == m.rank || m.phase == Retired {
		return
	}
	if msg.Outdated != nil {
		m.replaced(*msg.Outdated)
		return
	}
	if msg.Life < m.known[msg.From] {
		m.send(msg.From, Message{Outdated: &Outdated{
			Asker: msg.Life,
			Known: m.known[msg.From],
		}})
		return
	}
	m.bar(msg.From, msg.Life)
	switch {
	case msg.Inquiry != nil:
		m.answer(msg.From, msg.Life, *msg.Inquiry)
	case msg.Answer != nil && m.phase == Recovering:
		m.gather(msg.From, *msg.Answer)
	case msg.Vote != nil && m.phase != Recovering:
		m.vote(msg.From, *msg.Vote)
	}
}

// bar takes note of a life of a peer and takes no more from former ones.
func (m *Member) bar(peer foxtailstack.Rank, life Life) {
	if life <= m.known[peer] {
		return
	}
	m.known[peer] = life
	m.told.Remove(peer)
	m.recover.answered.Remove(peer)
	if m.recover.confirms() {
		m.recover.next()
	}
}

// replaced learns that a peer knows a later life of this rank. A member that
// has taken part retires; one that has not takes a still later life.
func (m *Member) replaced(o Outdated) {
	if o.Asker != m.life || o.Known <= m.life {
		return
	}
	if m.phase != Recovering {
		m.fire(triggerRetire)
		m.note(NoteRetire, m.state.Ballot, m.state.Started, false)
		return
	}
	m.life = o.Known + 1
	m.known[m.rank] = m.life
	m.restart()
}

// send queues a message.
func (m *Member) send(to foxtailstack.Rank, msg Message) {
	msg.From = m.rank
	msg.To = to
	msg.Life = m.life
	m.out = append(m.out, msg)
}

// note queues a note.
func (m *Member) note(kind NoteKind, ballot Ballot, step foxtailstack.Step, stand bool) {
	m.notes = append(m.notes, Note{
		Kind:   kind,
		Ballot: ballot,
		Step:   step,
		Stand:  stand,
	})
}
