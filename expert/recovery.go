package expert

import "github.com/foxtailstack/foxtailstack"

// stateRequestBatch is the maximum number of peers that a recovering member
// sends a state request to at each tick.
const stateRequestBatch = 2

// recovery is the progress of a recovering member, which collects the state of
// its peers before its first step.
type recovery struct {
	// round numbers the rounds of state requests. Even rounds confirm a cold
	// start.
	round int
	// requested are the peers that have been sent a request in the current cycle
	// over the peers without a final response. It is emptied when the cycle ends.
	requested RankSet
	// deferred are the requests of peers that get a second response once this
	// member has recovered.
	deferred []deferredRequest
	// responded are the peers whose current generation has responded in this
	// round.
	responded RankSet
	// recovered are the peers that have responded as recovered.
	recovered RankSet
	collected State
}

// deferredRequest is a state request that gets a second response later.
type deferredRequest struct {
	from       foxtailstack.Rank
	generation Generation
	round      int
}

// confirmsColdStart reports whether the round is one that confirms a cold start.
func (r *recovery) confirmsColdStart() bool {
	return r.round > 0 && r.round%2 == 0
}

// nextRound starts the next round of state requests.
func (r *recovery) nextRound() {
	r.round++
	r.responded = RankSet{}
	r.requested = RankSet{}
}

// startRecovery clears the state of m and starts its recovery.
func (m *Member) startRecovery() {
	m.recovery = recovery{round: 1}
	m.state = State{}
	m.finishRecoveryIfComplete()
}

// sendStateRequests sends state requests to a few of the peers without a final
// response.
func (m *Member) sendStateRequests() {
	n := 0
	for distance := 1; distance < m.size && n < stateRequestBatch; distance++ {
		peer := m.peerAt(distance)
		if m.hasFinalResponse(peer) || m.recovery.requested.Has(peer) {
			continue
		}
		n++
		m.recovery.requested.Add(peer)
		request := &StateRequest{Round: m.recovery.round}
		if m.recovery.confirmsColdStart() {
			request.Generations = append([]Generation(nil), m.generations...)
		}
		m.send(peer, Message{StateRequest: request})
	}
	if n < stateRequestBatch {
		m.recovery.requested = RankSet{}
	}
}

// hasFinalResponse reports whether no further response of a peer is needed: it
// has responded, and either had recovered by then or has a higher rank. Members
// that recover at the same time finish in the order of their ranks, so that none
// of them misses what another one learns later.
func (m *Member) hasFinalResponse(peer foxtailstack.Rank) bool {
	return m.recovery.responded.Has(peer) && (m.recovery.recovered.Has(peer) || peer > m.rank)
}

// sendStateResponse sends a peer the state of this member. While this member
// recovers itself, that is the state collected so far, and the request is
// deferred for a second response.
func (m *Member) sendStateResponse(to foxtailstack.Rank, generation Generation, request StateRequest) {
	for r, observed := range request.Generations {
		if r < m.size && r != int(m.rank) {
			m.observeGeneration(foxtailstack.Rank(r), observed)
		}
	}
	response := &StateResponse{
		RequesterGeneration: generation,
		Round:               request.Round,
		Recovered:           m.phase != Recovering,
		State:               m.State(),
	}
	if !response.Recovered {
		response.State = m.recovery.collected
		m.deferRequest(deferredRequest{
			from:       to,
			generation: generation,
			round:      request.Round,
		})
	}
	m.send(to, Message{StateResponse: response})
}

// deferRequest stores a request, in place of an earlier one of the same rank. It
// makes a new slice, as copies of the member may share the old one.
func (m *Member) deferRequest(request deferredRequest) {
	deferred := make([]deferredRequest, 0, len(m.recovery.deferred)+1)
	for _, other := range m.recovery.deferred {
		if other.from != request.from {
			deferred = append(deferred, other)
		}
	}
	m.recovery.deferred = append(deferred, request)
}

// handleStateResponse processes the state response of a peer. A response in an
// earlier round adds to the collected state, but does not count as a response in
// this round.
func (m *Member) handleStateResponse(from foxtailstack.Rank, response StateResponse) {
	if response.RequesterGeneration != m.generation {
		return
	}
	m.mergeState(response.State)
	if response.Round != m.recovery.round {
		return
	}
	m.recovery.responded.Add(from)
	if response.Recovered {
		m.recovery.recovered.Add(from)
	} else {
		m.recovery.recovered.Remove(from)
	}
	m.finishRecoveryIfComplete()
}

// mergeState merges the state of a peer into the collected state: the map of the
// higher epoch, the highest step and ballot, and the union of the votes in
// undecided attempts. A state without a map is ignored.
func (m *Member) mergeState(s State) {
	collected := &m.recovery.collected
	if !s.HasMap {
		return
	}
	records := collected.Undecided
	started := max(collected.HighestStarted, s.HighestStarted)
	ballot := laterBallot(collected.Ballot, s.Ballot)
	if !collected.HasMap || s.Epoch > collected.Epoch {
		*collected = s
	}
	collected.HighestStarted = started
	collected.Ballot = ballot
	collected.Undecided = records
	for _, record := range s.Undecided {
		m.mergeVoteRecord(record)
	}
}

// mergeVoteRecord merges the votes that a peer has seen in an undecided attempt
// into the collected state, except those of generations that have been
// superseded. It keeps the vote of an earlier generation of this rank, which
// finishRecovery may reaffirm. It makes a new slice, as a State that has been sent
// may share the old one.
func (m *Member) mergeVoteRecord(record VoteRecord) {
	collected := &m.recovery.collected
	yes := RankSet{}
	for r, generation := range record.Attempt.Generations {
		rank := foxtailstack.Rank(r)
		if record.Yes.Has(rank) && (rank == m.rank || m.generations[r] <= generation) {
			yes.Add(rank)
		}
	}
	record.Yes = yes
	records := append([]VoteRecord(nil), collected.Undecided...)
	for i := range records {
		if records[i].ID == record.ID {
			records[i].Yes = records[i].Yes.Union(record.Yes)
			records[i].Confirmed = records[i].Confirmed.Union(record.Confirmed)
			collected.Undecided = records
			return
		}
	}
	collected.Undecided = append(records, record)
}

// finishRecoveryIfComplete finishes the recovery once there are final responses
// of all peers. If no peer knows of a map, it first starts an even round, which
// confirms the cold start. If no rank knows of a map in the even round either and
// no new generation has been seen in it, the rank with the lowest number finishes
// first and starts the group on the map of epoch zero. The first round
// shows which generation of each rank runs when the even round begins. These
// generations know of no map when they respond in the even round, and a
// generation does not forget a map: all ranks knew of none at the same time.
func (m *Member) finishRecoveryIfComplete() {
	for p := range m.size {
		peer := foxtailstack.Rank(p)
		if peer != m.rank && !m.hasFinalResponse(peer) {
			return
		}
	}
	if !m.recovery.collected.HasMap {
		if !m.recovery.confirmsColdStart() && m.size > 1 {
			m.recovery.nextRound()
			return
		}
	}
	m.finishRecovery()
}

// finishRecovery makes the member take part in the protocol with the collected
// state. It reaffirms the last yes vote of its earlier generations that a peer
// has seen, and votes no in all other undecided attempts on the map in use: it
// does not know how its earlier generations voted, and must not vote yes in them
// later. Attempts on an older base are skipped, as they can no longer commit.
//
// Of the deferred requests, only those of higher ranks get a second response:
// lower ranks need no further response of a higher rank (see hasFinalResponse).
func (m *Member) finishRecovery() {
	collected := m.recovery.collected
	cold := !collected.HasMap
	collected.HasMap = true
	deferred := m.recovery.deferred
	m.recovery = recovery{}
	m.state = collected
	m.state.Undecided = nil
	if !cold {
		// The earlier generation may have been one step ahead of its peers.
		m.state.HighestStarted = collected.HighestStarted + 1
	}
	m.fire(triggerRecovered)
	m.recordEvent(MemberRecovered, collected.Ballot, m.state.HighestStarted, false)
	var reaffirmed *VoteRecord
	for i := range collected.Undecided {
		record := &collected.Undecided[i]
		m.state.Ballot = laterBallot(m.state.Ballot, record.Attempt.Ballot)
		if record.Attempt.Base == collected.Epoch && record.ID != collected.AttemptID && record.Yes.Has(m.rank) &&
			(reaffirmed == nil || reaffirmed.Attempt.Ballot.Before(record.Attempt.Ballot)) {
			reaffirmed = record
		}
	}
	for i := range collected.Undecided {
		record := &collected.Undecided[i]
		if record != reaffirmed && record.Attempt.Base == collected.Epoch {
			m.sendNoToAll(record)
		}
	}
	if reaffirmed != nil {
		m.voteYes(*reaffirmed, true)
	}
	for _, request := range deferred {
		if request.from > m.rank && request.generation == m.generations[request.from] {
			m.sendStateResponse(request.from, request.generation, StateRequest{Round: request.round})
		}
	}
}

// sendNoToAll sends a no vote in an attempt to all peers.
func (m *Member) sendNoToAll(record *VoteRecord) {
	m.recordEvent(MemberVotedNo, record.Attempt.Ballot, record.Attempt.FirstStep, false)
	for distance := 1; distance < m.size; distance++ {
		m.sendNo(m.peerAt(distance), record.ID, record.Attempt.Ballot)
	}
}
