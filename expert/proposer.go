package expert

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// proposalBatch is the number of ranks that the proposal is sent to at each
	// tick.
	proposalBatch = 4
	// maxTries is the maximum number of attempts for one map.
	maxTries = 5
	// proposalTimeout is the time after which a proposal is abandoned if it has
	// not been switched to, for example because a rank does not stage it.
	proposalTimeout = 10 * time.Minute
)

// Proposer has a map staged on all ranks and then starts attempts to switch to
// it. The zero value has no proposal. It is not safe for concurrent use.
type Proposer struct {
	// Lead is the number of steps from the highest one started to the first step
	// on the new map, in the first attempt. It doubles with each try.
	Lead foxtailstack.Step

	proposal   Proposal
	proposedAt time.Time
	// tries counts the attempts started for the proposal.
	tries uint32
	// nextRank is the rank at which the search for missing reports continues at
	// the next tick.
	nextRank int
	// generations and reports hold the last staging report of each rank and the
	// generation that sent it. The generation is zero until the rank has
	// reported.
	generations []Generation
	reports     []StagingReport
}

// Propose starts to propose a map in place of the current proposal, if any.
func (p *Proposer) Propose(now time.Time, proposal Proposal, size int) {
	p.proposal = proposal
	p.proposedAt = now
	p.tries = 0
	p.clearReports(size)
}

// Busy reports whether there is a current proposal.
func (p *Proposer) Busy() bool {
	return p.proposal != Proposal{}
}

// RecordStaging records the staging report of a rank. It ignores reports on
// other maps and those of generations earlier than the one recorded, as an attempt
// that names a superseded generation fails. The rank must be in the group.
func (p *Proposer) RecordStaging(from foxtailstack.Rank, generation Generation, report StagingReport) {
	if !p.Busy() || report.Epoch != p.proposal.Epoch || report.Digest != p.proposal.Digest {
		return
	}
	if generation < p.generations[from] {
		return
	}
	p.generations[from] = generation
	p.reports[from] = report
}

// HandleEvent processes an event of the member on the proposer's own rank. A
// switch ends the proposal; a failed attempt discards the staging reports, which
// are then requested anew. Events of epochs before that of the proposal are
// ignored.
func (p *Proposer) HandleEvent(event MemberEvent, size int) {
	if !p.Busy() || event.Ballot.Epoch < p.proposal.Epoch {
		return
	}
	switch event.Kind {
	case MemberSwitched:
		p.proposal = Proposal{}
	case MemberKeptMap:
		p.clearReports(size)
	}
}

// Tick sends the proposal to a few of the ranks whose staging reports are
// missing. Once all reports have arrived, it starts an attempt. It abandons the
// proposal if the map in use is at least as new, after maxTries attempts or
// after proposalTimeout.
func (p *Proposer) Tick(now time.Time, m *Member) {
	if !p.Busy() || m.Phase() != Steady {
		return
	}
	stale := m.State().Epoch >= p.proposal.Epoch
	if stale || p.tries == maxTries || now.Sub(p.proposedAt) > proposalTimeout {
		p.proposal = Proposal{}
		return
	}
	missing := p.requestStaging(m)
	if missing > 0 {
		return
	}
	p.tries++
	if m.StartAttempt(p.attempt(m)) != nil {
		p.clearReports(m.size)
	}
}

// attempt returns the attempt to start next, with the generations that staged
// the map as voters.
func (p *Proposer) attempt(m *Member) *Attempt {
	started := m.state.HighestStarted
	for _, r := range p.reports {
		started = max(started, r.HighestStarted)
	}
	return &Attempt{
		Ballot: Ballot{
			Epoch: p.proposal.Epoch,
			Try:   p.tries,
		},
		Base:        m.state.Epoch,
		Digest:      p.proposal.Digest,
		FirstStep:   started + p.Lead<<(p.tries-1),
		Generations: append([]Generation(nil), p.generations...),
	}
}

// requestStaging sends the proposal to up to proposalBatch other ranks that have
// not reported and returns how many reports are missing, including that of the
// own rank.
func (p *Proposer) requestStaging(m *Member) int {
	missing, sent := 0, 0
	for i := range m.size {
		r := (p.nextRank + i) % m.size
		if p.generations[r] != 0 {
			continue
		}
		missing++
		if r != int(m.rank) && sent < proposalBatch {
			sent++
			p.nextRank = r + 1
			proposal := p.proposal
			m.send(foxtailstack.Rank(r), Message{Proposal: &proposal})
		}
	}
	return missing
}

// clearReports discards all staging reports. Those of other ranks are requested
// again. That of the own rank is not: Agent.flush records it again after a kept
// map or a no vote. After a failed StartAttempt nothing does, and the proposal
// waits for proposalTimeout.
func (p *Proposer) clearReports(size int) {
	p.generations = make([]Generation, size)
	p.reports = make([]StagingReport, size)
}
