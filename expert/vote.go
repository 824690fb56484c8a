package expert

import "github.com/foxtailstack/foxtailstack"

// handleVotes processes the votes that a peer has seen in an attempt.
func (m *Member) handleVotes(from foxtailstack.Rank, votes Votes) {
	switch {
	case m.phase == InDoubt && votes.ID == m.inDoubt.ID:
		m.mergeVotes(from, votes)
	case votes.No:
		// The attempt is not the one in doubt at this rank; therefore its failure
		// changes nothing.
	case votes.ID == m.state.AttemptID:
		if all := AllRanks(m.size); votes.Yes != all || votes.Confirmed != all {
			m.send(from, Message{Votes: m.committedVotes(votes)})
		}
	case !m.state.Ballot.Before(votes.Ballot):
		// The rank has voted in this attempt or in a later one, and is not in
		// doubt about it.
		m.sendNo(from, votes.ID, votes.Ballot)
	case votes.Attempt == nil:
		// The votes lack the attempt itself. The peer includes it until it has
		// received votes in this attempt from this generation of the rank.
	case m.phase == Steady && m.canVoteYes(votes.Attempt):
		m.voteYes(VoteRecord{
			Attempt: votes.Attempt,
			ID:      votes.ID,
		}, false)
		m.mergeVotes(from, votes)
	default:
		m.state.Ballot = votes.Ballot
		m.recordEvent(MemberVotedNo, votes.Ballot, votes.Attempt.FirstStep, false)
		m.sendNo(from, votes.ID, votes.Ballot)
	}
}

// canVoteYes reports whether the rank can vote yes in an attempt: it has
// voted neither in this attempt nor in a later one, which makes a no final; it
// uses the base map and has loaded the weights; it cannot have started the first
// step on the new map; and it knows of no voter that has been superseded by a
// later generation. It must also have started a step on the base map in this
// generation (startedThisGeneration): once all ranks have, no step on an earlier
// map is executed again.
func (m *Member) canVoteYes(a *Attempt) bool {
	if !m.state.Ballot.Before(a.Ballot) || a.Base != m.state.Epoch || len(a.Generations) != m.size {
		return false
	}
	if a.Ballot.Epoch != m.staged.Epoch || a.Digest != m.staged.Digest {
		return false
	}
	if a.FirstStep <= m.state.HighestStarted || m.startedThisGeneration < m.state.FirstStep {
		return false
	}
	for r, generation := range a.Generations {
		if m.generations[r] > generation {
			return false
		}
	}
	return true
}

// voteYes votes yes in an attempt, or reaffirms the yes vote of an earlier
// generation.
func (m *Member) voteYes(record VoteRecord, reaffirmed bool) {
	record.Yes.Add(m.rank)
	m.inDoubt = record
	m.hasAttempt = RankSet{}
	m.tickCount = 0
	m.state.Ballot = laterBallot(m.state.Ballot, record.Attempt.Ballot)
	m.fire(triggerVotedYes)
	m.recordEvent(MemberVotedYes, record.Attempt.Ballot, record.Attempt.FirstStep, reaffirmed)
	m.commitIfUnanimous()
}

// mergeVotes merges the votes that a peer has seen in the attempt in doubt. A
// yes vote of a superseded generation counts only if its rank reaffirms it
// itself: the later generation may not know of the vote and may already have run
// the first step of the attempt on the base map.
func (m *Member) mergeVotes(from foxtailstack.Rank, votes Votes) {
	if votes.No {
		m.abort()
		return
	}
	m.hasAttempt.Add(from)
	for r, generation := range m.inDoubt.Attempt.Generations {
		rank := foxtailstack.Rank(r)
		if votes.Yes.Has(rank) && (m.generations[r] <= generation || from == rank) {
			m.inDoubt.Yes.Add(rank)
		}
	}
	m.inDoubt.Confirmed = m.inDoubt.Confirmed.Union(votes.Confirmed)
	m.commitIfUnanimous()
}

// commitIfUnanimous switches to the new map once all ranks are known to have
// seen all yes votes. If a rank switched when it alone had seen them all, it
// could start the step and then be lost together with its vote.
func (m *Member) commitIfUnanimous() {
	all := AllRanks(m.size)
	if m.inDoubt.Yes != all {
		return
	}
	m.inDoubt.Confirmed.Add(m.rank)
	if m.inDoubt.Confirmed != all {
		return
	}
	a := m.inDoubt.Attempt
	m.state.PreviousEpoch = m.state.Epoch
	m.state.Epoch = a.Ballot.Epoch
	m.state.FirstStep = a.FirstStep
	m.state.AttemptID = m.inDoubt.ID
	m.fire(triggerDecided)
	m.recordEvent(MemberSwitched, a.Ballot, a.FirstStep, false)
	m.inDoubt = VoteRecord{}
}

// abort ends the attempt in doubt after a no vote, keeps the map in use and
// forwards the no vote to the peers at distances of powers of two. Those in doubt
// forward it in turn.
func (m *Member) abort() {
	record := m.inDoubt
	m.inDoubt = VoteRecord{}
	m.fire(triggerDecided)
	m.recordEvent(MemberKeptMap, record.Attempt.Ballot, record.Attempt.FirstStep, false)
	for stride := 1; stride < m.size; stride *= 2 {
		m.sendNo(m.peerAt(stride), record.ID, record.Attempt.Ballot)
	}
}

// sendNo tells a peer that an attempt has failed.
func (m *Member) sendNo(to foxtailstack.Rank, id AttemptID, ballot Ballot) {
	m.send(to, Message{Votes: &Votes{
		ID:     id,
		Ballot: ballot,
		No:     true,
	}})
}

// committedVotes returns the complete votes of the attempt that switched to the
// map in use, to be sent to a peer that has not seen all of them.
func (m *Member) committedVotes(votes Votes) *Votes {
	return &Votes{
		ID:        votes.ID,
		Ballot:    votes.Ballot,
		Yes:       AllRanks(m.size),
		Confirmed: AllRanks(m.size),
	}
}

// gossipVotes sends the votes seen in the attempt in doubt to two peers: one at
// a distance of a power of two, so that all votes reach all ranks in a
// logarithmic number of ticks, and one in a plain cycle over all peers, so that
// every pair of ranks exchanges votes directly.
func (m *Member) gossipVotes() {
	if m.size == 1 {
		return
	}
	strides := 0
	for stride := 1; stride < m.size; stride *= 2 {
		strides++
	}
	strided := m.peerAt(1 << (m.tickCount % strides))
	cyclic := m.peerAt(1 + m.tickCount%(m.size-1))
	m.sendVotes(strided)
	if cyclic != strided {
		m.sendVotes(cyclic)
	}
}

// sendVotes sends a peer the votes seen in the attempt in doubt, with the
// attempt itself unless the peer is known to have it.
func (m *Member) sendVotes(to foxtailstack.Rank) {
	votes := &Votes{
		ID:        m.inDoubt.ID,
		Ballot:    m.inDoubt.Attempt.Ballot,
		Yes:       m.inDoubt.Yes,
		Confirmed: m.inDoubt.Confirmed,
	}
	if !m.hasAttempt.Has(to) {
		votes.Attempt = m.inDoubt.Attempt
	}
	m.send(to, Message{Votes: votes})
}

// peerAt returns the rank at a distance after this one, modulo the size of the
// group.
func (m *Member) peerAt(distance int) foxtailstack.Rank {
	return foxtailstack.Rank((int(m.rank) + distance) % m.size)
}

// laterBallot returns the later of two ballots.
func laterBallot(a, b Ballot) Ballot {
	if a.Before(b) {
		return b
	}
	return a
}
