package expert

import "github.com/foxtailstack/foxtailstack"

// vote takes the votes that a peer holds.
func (m *Member) vote(from foxtailstack.Rank, v Vote) {
	switch {
	case m.phase == Sealed && v.ID == m.sealed.ID:
		m.merge(from, v)
	case v.No:
		// An attempt that this rank has not said yes to has failed.
	case v.ID == m.state.ID:
		if all := All(m.size); v.Yes != all || v.Full != all {
			m.send(from, Message{Vote: m.passed(v)})
		}
	case !m.state.Ballot.Before(v.Ballot):
		m.refuse(from, v.ID, v.Ballot)
	case v.Attempt == nil:
		// The peer sends the attempt along until it hears from this life.
	case m.phase == Steady && m.agrees(v.Attempt):
		m.seal(Held{
			Attempt: v.Attempt,
			ID:      v.ID,
		}, false)
		m.merge(from, v)
	default:
		m.state.Ballot = v.Ballot
		m.note(NoteNo, v.Ballot, v.Attempt.Step, false)
		m.refuse(from, v.ID, v.Ballot)
	}
}

// agrees reports whether the rank can say yes to an attempt: it has voted in no
// later one, has begun a step on its base, holds the weights, can still seal
// itself before the step, and knows of no voter that has been replaced. Once
// all ranks have begun a step on the base, no step before it is run again.
func (m *Member) agrees(a *Attempt) bool {
	if !m.state.Ballot.Before(a.Ballot) || a.Base != m.state.Epoch || len(a.Lives) != m.size {
		return false
	}
	if a.Ballot.Epoch != m.staged.Epoch || a.Digest != m.staged.Digest {
		return false
	}
	if a.Step <= m.state.Started || m.began < m.state.Since {
		return false
	}
	for r, life := range a.Lives {
		if m.known[r] > life {
			return false
		}
	}
	return true
}

// seal says yes to an attempt, or stands by the yes of a former life.
func (m *Member) seal(h Held, stand bool) {
	h.Yes.Add(m.rank)
	m.sealed = h
	m.told = Ranks{}
	m.turn = 0
	m.state.Ballot = latest(m.state.Ballot, h.Attempt.Ballot)
	m.fire(triggerVote)
	m.note(NoteYes, h.Attempt.Ballot, h.Attempt.Step, stand)
	m.decide()
}

// merge adds the votes that a peer holds in the sealed attempt. A yes of a life
// that has been barred counts only if its rank itself stands by it.
func (m *Member) merge(from foxtailstack.Rank, v Vote) {
	if v.No {
		m.keep()
		return
	}
	m.told.Add(from)
	for r, life := range m.sealed.Attempt.Lives {
		rank := foxtailstack.Rank(r)
		if v.Yes.Has(rank) && (m.known[r] <= life || from == rank) {
			m.sealed.Yes.Add(rank)
		}
	}
	m.sealed.Full = m.sealed.Full.Union(v.Full)
	m.decide()
}

// decide switches once every rank is known to hold every yes. A rank that knew
// only itself of the unanimity could start the step and be lost with its vote.
func (m *Member) decide() {
	all := All(m.size)
	if m.sealed.Yes != all {
		return
	}
	m.sealed.Full.Add(m.rank)
	if m.sealed.Full != all {
		return
	}
	a := m.sealed.Attempt
	m.state.Prev = m.state.Epoch
	m.state.Epoch = a.Ballot.Epoch
	m.state.Since = a.Step
	m.state.ID = m.sealed.ID
	m.fire(triggerSettle)
	m.note(NoteSwitch, a.Ballot, a.Step, false)
	m.sealed = Held{}
}

// keep stays on the present map after a no, and passes it on.
func (m *Member) keep() {
	h := m.sealed
	m.sealed = Held{}
	m.fire(triggerSettle)
	m.note(NoteKeep, h.Attempt.Ballot, h.Attempt.Step, false)
	for stride := 1; stride < m.size; stride *= 2 {
		m.refuse(m.peer(stride), h.ID, h.Attempt.Ballot)
	}
}

// refuse tells a peer that an attempt has failed.
func (m *Member) refuse(to foxtailstack.Rank, id AttemptID, ballot Ballot) {
	m.send(to, Message{Vote: &Vote{
		ID:     id,
		Ballot: ballot,
		No:     true,
	}})
}

// passed returns the votes of the attempt that brought the present map.
func (m *Member) passed(v Vote) *Vote {
	return &Vote{
		ID:     v.ID,
		Ballot: v.Ballot,
		Yes:    All(m.size),
		Full:   All(m.size),
	}
}

// spread sends the votes held to two peers: one at a power of two away, so that
// all votes reach all ranks in a logarithm of rounds, and one in a plain cycle,
// so that every pair of ranks meets.
func (m *Member) spread() {
	if m.size == 1 {
		return
	}
	strides := 0
	for stride := 1; stride < m.size; stride *= 2 {
		strides++
	}
	near := m.peer(1 << (m.turn % strides))
	far := m.peer(1 + m.turn%(m.size-1))
	m.sendVotes(near)
	if far != near {
		m.sendVotes(far)
	}
}

// sendVotes sends the votes held in the sealed attempt.
func (m *Member) sendVotes(to foxtailstack.Rank) {
	v := &Vote{
		ID:     m.sealed.ID,
		Ballot: m.sealed.Attempt.Ballot,
		Yes:    m.sealed.Yes,
		Full:   m.sealed.Full,
	}
	if !m.told.Has(to) {
		v.Attempt = m.sealed.Attempt
	}
	m.send(to, Message{Vote: v})
}

// peer returns the rank that is so many behind this one, around the group.
func (m *Member) peer(distance int) foxtailstack.Rank {
	return foxtailstack.Rank((int(m.rank) + distance) % m.size)
}

// latest returns the later of two ballots.
func latest(a, b Ballot) Ballot {
	if a.Before(b) {
		return b
	}
	return a
}
