package expert

import "github.com/foxtailstack/foxtailstack"

// inquiryBatch is the number of peers that a recovering member asks at a tick.
const inquiryBatch = 2

// recovery is what a restarted member gathers before its first step.
type recovery struct {
	// round numbers the rounds of questions; the even ones confirm a cold start.
	round int
	// asked are the peers asked since all unsettled ones were last asked.
	asked Ranks
	// waiting are the questions of peers that wait for this member to resolve.
	waiting []question
	// answered are the peers that have answered in this round and this life.
	answered Ranks
	// resolved are those of them that take part.
	resolved Ranks
	gathered State
}

// question is an inquiry to be answered again.
type question struct {
	from  foxtailstack.Rank
	life  Life
	round int
}

// confirms reports whether the round confirms a cold start.
func (r *recovery) confirms() bool {
	return r.round > 0 && r.round%2 == 0
}

// next begins the next round.
func (r *recovery) next() {
	r.round++
	r.answered = Ranks{}
	r.asked = Ranks{}
}

// restart begins to ask the peers.
func (m *Member) restart() {
	m.recover = recovery{round: 1}
	m.state = State{}
	m.resolve()
}

// inquire asks a few of the peers that have not answered, or are to resolve
// first.
func (m *Member) inquire() {
	n := 0
	for distance := 1; distance < m.size && n < inquiryBatch; distance++ {
		peer := m.peer(distance)
		if m.settled(peer) || m.recover.asked.Has(peer) {
			continue
		}
		n++
		m.recover.asked.Add(peer)
		inquiry := &Inquiry{Round: m.recover.round}
		if m.recover.confirms() {
			inquiry.Lives = append([]Life(nil), m.known...)
		}
		m.send(peer, Message{Inquiry: inquiry})
	}
	if n < inquiryBatch {
		m.recover.asked = Ranks{}
	}
}

// settled reports whether no further answer of a peer is needed. Members that
// recover together resolve in the order of their ranks, so that none of them
// leaves out what another one learns later.
func (m *Member) settled(peer foxtailstack.Rank) bool {
	return m.recover.answered.Has(peer) && (m.recover.resolved.Has(peer) || peer > m.rank)
}

// answer tells a peer what this member knows.
func (m *Member) answer(to foxtailstack.Rank, life Life, in Inquiry) {
	for r, l := range in.Lives {
		if r < m.size && r != int(m.rank) {
			m.bar(foxtailstack.Rank(r), l)
		}
	}
	answer := &Answer{
		Asker:    life,
		Round:    in.Round,
		Resolved: m.phase != Recovering,
		State:    m.State(),
	}
	if !answer.Resolved {
		answer.State = m.recover.gathered
		m.wait(question{
			from:  to,
			life:  life,
			round: in.Round,
		})
	}
	m.send(to, Message{Answer: answer})
}

// wait keeps a question in place of an earlier one of the same rank.
func (m *Member) wait(q question) {
	waiting := make([]question, 0, len(m.recover.waiting)+1)
	for _, other := range m.recover.waiting {
		if other.from != q.from {
			waiting = append(waiting, other)
		}
	}
	m.recover.waiting = append(waiting, q)
}

// gather takes the answer of a peer.
func (m *Member) gather(from foxtailstack.Rank, a Answer) {
	if a.Asker != m.life {
		return
	}
	m.learn(a.State)
	if a.Round != m.recover.round {
		return
	}
	m.recover.answered.Add(from)
	if a.Resolved {
		m.recover.resolved.Add(from)
	} else {
		m.recover.resolved.Remove(from)
	}
	m.resolve()
}

// learn adds the state of a peer to what has been gathered.
func (m *Member) learn(s State) {
	g := &m.recover.gathered
	if !s.Known {
		return
	}
	held := g.Held
	started := max(g.Started, s.Started)
	ballot := latest(g.Ballot, s.Ballot)
	if !g.Known || s.Epoch > g.Epoch {
		*g = s
	}
	g.Started = started
	g.Ballot = ballot
	g.Held = held
	for _, h := range s.Held {
		m.learnHeld(h)
	}
}

// learnHeld adds the votes that a peer holds, but for those of barred lives.
func (m *Member) learnHeld(h Held) {
	g := &m.recover.gathered
	yes := Ranks{}
	for r, life := range h.Attempt.Lives {
		rank := foxtailstack.Rank(r)
		if h.Yes.Has(rank) && (rank == m.rank || m.known[r] <= life) {
			yes.Add(rank)
		}
	}
	h.Yes = yes
	held := append([]Held(nil), g.Held...)
	for i := range held {
		if held[i].ID == h.ID {
			held[i].Yes = held[i].Yes.Union(h.Yes)
			held[i].Full = held[i].Full.Union(h.Full)
			g.Held = held
			return
		}
	}
	g.Held = append(held, h)
}

// resolve ends the recovery once every peer has answered. If no peer knows of
// any map, the first rank starts the group, after a second round that shows
// that all ranks knew nothing at the same time.
func (m *Member) resolve() {
	for p := range m.size {
		peer := foxtailstack.Rank(p)
		if peer != m.rank && !m.settled(peer) {
			return
		}
	}
	if !m.recover.gathered.Known {
		if !m.recover.confirms() && m.size > 1 {
			m.recover.next()
			return
		}
	}
	m.join()
}

// join takes part from now on: it stands by the last yes of its former life
// that a peer holds and says no to all other attempts.
func (m *Member) join() {
	g := m.recover.gathered
	cold := !g.Known
	g.Known = true
	waiting := m.recover.waiting
	m.recover = recovery{}
	m.state = g
	m.state.Held = nil
	if !cold {
		// The former life may have been one step ahead of its peers.
		m.state.Started = g.Started + 1
	}
	m.fire(triggerResolve)
	m.note(NoteResolve, g.Ballot, m.state.Started, false)
	var stand *Held
	for i := range g.Held {
		h := &g.Held[i]
		m.state.Ballot = latest(m.state.Ballot, h.Attempt.Ballot)
		if h.Attempt.Base == g.Epoch && h.ID != g.ID && h.Yes.Has(m.rank) &&
			(stand == nil || stand.Attempt.Ballot.Before(h.Attempt.Ballot)) {
			stand = h
		}
	}
	for i := range g.Held {
		h := &g.Held[i]
		if h != stand && h.Attempt.Base == g.Epoch {
			m.refuseAll(h)
		}
	}
	if stand != nil {
		m.seal(*stand, true)
	}
	for _, q := range waiting {
		if q.from > m.rank && q.life == m.known[q.from] {
			m.answer(q.from, q.life, Inquiry{Round: q.round})
		}
	}
}

// refuseAll says no to an attempt.
func (m *Member) refuseAll(h *Held) {
	m.note(NoteNo, h.Attempt.Ballot, h.Attempt.Step, false)
	for distance := 1; distance < m.size; distance++ {
		m.refuse(m.peer(distance), h.ID, h.Attempt.Ballot)
	}
}
