package expert

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// proposalBatch is the number of ranks told of a proposal at a tick.
	proposalBatch = 4
	// maxTries is the number of attempts made for one map.
	maxTries = 5
	// maxProposal is the time after which a map that not all ranks stage is
	// given up.
	maxProposal = 10 * time.Minute
)

// Proposer brings a map to a vote: it tells all ranks to stage it and, once all
// have, begins an attempt. The zero value proposes nothing. It is not safe for
// concurrent use.
type Proposer struct {
	// Lead is how many steps ahead of the last one the first attempt is to take
	// effect. It doubles with each try.
	Lead foxtailstack.Step

	proposal Proposal
	since    time.Time
	tries    uint32
	next     int
	lives    []Life
	reports  []Staged
}

// Propose replaces the present proposal.
func (p *Proposer) Propose(now time.Time, proposal Proposal, size int) {
	p.proposal = proposal
	p.since = now
	p.tries = 0
	p.forget(size)
}

// Busy reports whether a proposal is under way.
func (p *Proposer) Busy() bool {
	return p.proposal != Proposal{}
}

// Report takes the report of a rank.
func (p *Proposer) Report(from foxtailstack.Rank, life Life, s Staged) {
	if !p.Busy() || s.Epoch != p.proposal.Epoch || s.Digest != p.proposal.Digest {
		return
	}
	if life < p.lives[from] {
		return
	}
	p.lives[from] = life
	p.reports[from] = s
}

// Note takes what the rank of the proposer has done.
func (p *Proposer) Note(n Note, size int) {
	if !p.Busy() || n.Ballot.Epoch < p.proposal.Epoch {
		return
	}
	switch n.Kind {
	case NoteSwitch:
		p.proposal = Proposal{}
	case NoteKeep:
		p.forget(size)
	}
}

// Tick makes the next move: it tells a few more ranks of the proposal, or begins
// an attempt.
func (p *Proposer) Tick(now time.Time, m *Member) {
	if !p.Busy() || m.Phase() != Steady {
		return
	}
	stale := m.State().Epoch >= p.proposal.Epoch
	if stale || p.tries == maxTries || now.Sub(p.since) > maxProposal {
		p.proposal = Proposal{}
		return
	}
	missing := p.remind(m)
	if missing > 0 {
		return
	}
	p.tries++
	if m.Attempt(p.attempt(m)) != nil {
		p.forget(m.size)
	}
}

// attempt returns the next attempt.
func (p *Proposer) attempt(m *Member) *Attempt {
	started := m.state.Started
	for _, r := range p.reports {
		started = max(started, r.Started)
	}
	return &Attempt{
		Ballot: Ballot{
			Epoch: p.proposal.Epoch,
			Try:   p.tries,
		},
		Base:   m.state.Epoch,
		Digest: p.proposal.Digest,
		Step:   started + p.Lead<<(p.tries-1),
		Lives:  append([]Life(nil), p.lives...),
	}
}

// remind sends the proposal to a few of the ranks that have not reported and
// returns how many there are.
func (p *Proposer) remind(m *Member) int {
	missing, sent := 0, 0
	for i := range m.size {
		r := (p.next + i) % m.size
		if p.lives[r] != 0 {
			continue
		}
		missing++
		if r != int(m.rank) && sent < proposalBatch {
			sent++
			p.next = r + 1
			proposal := p.proposal
			m.send(foxtailstack.Rank(r), Message{Proposal: &proposal})
		}
	}
	return missing
}

// forget drops all reports, so that they are asked for again.
func (p *Proposer) forget(size int) {
	p.lives = make([]Life, size)
	p.reports = make([]Staged, size)
}
