package expert

import (
	"testing"

	"github.com/foxtailstack/foxtailstack"
)

// link is a directed connection between two ranks.
type link struct {
	from, to foxtailstack.Rank
}

// script lets a test control each message of a small group. Messages are queued
// on their link until they are delivered, even if their sender is killed.
type script struct {
	*testing.T
	members []*Member
	queues  map[link][]Message
}

// newScript returns a group that has recovered and started its first step on epoch
// zero.
func newScript(t *testing.T, size int) *script {
	s := &script{
		T:       t,
		members: (&searcher{bounds: bounds{ranks: size}}).startMembers(t),
		queues:  map[link][]Message{},
	}
	for r := range s.members {
		s.expectEpoch(r, 1, 0)
	}
	return s
}

// collect queues the messages that a member sends on their links.
func (s *script) collect(r int) {
	for _, msg := range s.members[r].TakeMessages() {
		l := link{msg.From, msg.To}
		s.queues[l] = append(s.queues[l], msg)
	}
}

// tick ticks a member often enough for it to send to every peer, and collects
// its messages.
func (s *script) tick(r int) {
	for range len(s.members) {
		s.members[r].Tick()
		s.collect(r)
	}
}

// deliver delivers the messages queued on a link.
func (s *script) deliver(from, to int) {
	l := link{foxtailstack.Rank(from), foxtailstack.Rank(to)}
	waiting := s.queues[l]
	s.queues[l] = nil
	for _, msg := range waiting {
		s.members[to].Handle(msg)
		s.collect(to)
	}
}

// drop discards the messages queued on a link.
func (s *script) drop(from, to int) {
	s.queues[link{foxtailstack.Rank(from), foxtailstack.Rank(to)}] = nil
}

// exchangeState ticks a member, delivers its messages to a peer and the messages
// of the peer to the member.
func (s *script) exchangeState(r, peer int) {
	s.tick(r)
	s.deliver(r, peer)
	s.deliver(peer, r)
}

// kill replaces a member by one of the next generation of its rank.
func (s *script) kill(r int) {
	m, err := NewMember(foxtailstack.Rank(r), len(s.members), s.members[r].generation+1)
	if err != nil {
		s.Fatalf("create member of rank %d: %v", r, err)
	}
	s.members[r] = m
}

// attempt returns an attempt that names the current generations.
func (s *script) attempt(epoch, base foxtailstack.Epoch, step foxtailstack.Step) *Attempt {
	a := &Attempt{
		Ballot:    Ballot{Epoch: epoch},
		Base:      base,
		FirstStep: step,
	}
	for _, m := range s.members {
		a.Generations = append(a.Generations, m.generation)
	}
	return a
}

// startAttempt makes a rank start an attempt that all ranks have staged.
func (s *script) startAttempt(r int, a *Attempt) {
	for _, m := range s.members {
		m.Stage(proposal(a))
	}
	err := s.members[r].StartAttempt(a)
	if err != nil {
		s.Fatalf("start attempt at rank %d: %v", r, err)
	}
	s.tick(r)
}

// expectEpoch checks that a rank starts a step on an epoch.
func (s *script) expectEpoch(r int, step foxtailstack.Step, want foxtailstack.Epoch) {
	s.Helper()
	epoch, ok := s.members[r].Begin(step)
	if !ok || epoch != want {
		s.Errorf("rank %d starts step %d on epoch %d (allowed: %t), want epoch %d", r, step, epoch, ok, want)
	}
}

// expectEpochOrWait checks that a rank does not start a step on another epoch
// than allowed. The rank may have to wait.
func (s *script) expectEpochOrWait(r int, step foxtailstack.Step, allowed foxtailstack.Epoch) {
	s.Helper()
	epoch, ok := s.members[r].Begin(step)
	if ok && epoch != allowed {
		s.Errorf("rank %d starts step %d on epoch %d, want epoch %d or none", r, step, epoch, allowed)
	}
}

// TestGuards checks each rule that keeps two ranks from starting the same step on
// two maps: the messages and kills of a case would lead to that without the rule.
func TestGuards(t *testing.T) {
	tests := map[string]func(*script){
		// The yes of the killed generation arrives late and must not count: its
		// successor has run the first step on the base map.
		"late vote of a lost rank": func(s *script) {
			s.startAttempt(0, s.attempt(1, 0, 5))
			s.deliver(0, 1)
			s.tick(1)
			s.kill(1)
			late := s.queues[link{1, 0}]
			s.drop(1, 0)
			s.exchangeState(1, 0)
			s.expectEpoch(1, 5, 0)
			s.queues[link{1, 0}] = late
			s.deliver(1, 0)
			s.expectEpochOrWait(0, 5, 0)
		},
		// As above, but another killed rank relays the yes.
		"vote relayed by another lost rank": func(s *script) {
			s.startAttempt(0, s.attempt(1, 0, 5))
			s.deliver(0, 1)
			s.deliver(0, 2)
			for range 2 {
				s.tick(1)
				s.tick(2)
				s.deliver(1, 2)
				s.deliver(2, 1)
			}
			s.tick(2)
			s.drop(1, 0)
			s.drop(0, 1)
			s.drop(0, 2)
			s.drop(1, 2)
			s.kill(1)
			s.kill(2)
			s.exchangeState(1, 0)
			s.exchangeState(1, 2)
			s.expectEpoch(1, 5, 0)
			s.deliver(2, 0)
			s.expectEpochOrWait(0, 5, 0)
		},
		// Rank 0 has seen the yes of rank 1 and can still commit, thus the successor of
		// rank 1 must not run the first step on the base map.
		"yes seen by a peer is reaffirmed": func(s *script) {
			s.startAttempt(0, s.attempt(1, 0, 5))
			s.deliver(0, 1)
			s.tick(1)
			s.deliver(1, 0)
			s.kill(1)
			s.exchangeState(1, 0)
			s.expectEpochOrWait(1, 5, 1)
			s.exchangeState(1, 0)
			s.exchangeState(0, 1)
			s.expectEpoch(0, 5, 1)
			s.expectEpoch(1, 5, 1)
		},
		// Rank 0 lacks the yes of a killed generation although all ranks have
		// confirmed. It must learn of the commit and not stay in doubt.
		"every rank had confirmed": func(s *script) {
			a := s.attempt(1, 0, 5)
			s.startAttempt(0, a)
			confirmed := &Votes{
				ID:        a.ID(),
				Confirmed: AllRanks(2),
			}
			s.members[0].Handle(Message{
				From:       1,
				Generation: 2,
				Votes:      confirmed,
			})
			s.kill(1)
			s.members[1].fire(triggerRecovered)
			s.members[1].state = State{ // as collected from ranks that have switched
				HasMap:    true,
				Epoch:     1,
				AttemptID: a.ID(),
			}
			s.drop(0, 1)
			s.exchangeState(0, 1)
			s.expectEpoch(0, 5, 1)
		},
		// The attempt may have been aborted on the no; a later yes could commit it
		// at other ranks.
		"a no is final": func(s *script) {
			a := s.attempt(1, 0, 5)
			s.startAttempt(0, a)
			s.members[1].Stage(Proposal{})
			s.deliver(0, 1)
			s.drop(1, 0)
			s.members[1].Stage(proposal(a))
			s.tick(0)
			s.deliver(0, 1)
			if s.members[1].StartAttempt(a) == nil || s.members[1].Phase() == InDoubt {
				s.Error("rank 1 voted yes in an attempt after it had voted no")
			}
		},
		// Ranks on different base maps would run the steps before the switch on
		// different maps.
		"another base": func(s *script) {
			a := s.attempt(2, 1, 5)
			if s.members[0].Stage(proposal(a)); s.members[0].StartAttempt(a) == nil {
				s.Error("rank 0 voted yes in an attempt whose base map it does not use")
			}
		},
		// The successor may have started the first step of the attempt on the base
		// map.
		"attempt names own earlier generation": func(s *script) {
			a := s.attempt(1, 0, 5)
			s.kill(1)
			s.exchangeState(1, 0)
			s.startAttempt(0, s.attempt(1, 0, 9))
			s.members[1].Stage(proposal(a))
			if s.members[1].StartAttempt(a) == nil {
				s.Error("rank 1 voted yes in an attempt that names its earlier generation")
			}
		},
		// As above, for the successor of a peer.
		"attempt names earlier generation of a peer": func(s *script) {
			a := s.attempt(1, 0, 5)
			s.kill(1)
			s.exchangeState(1, 0)
			s.members[0].Stage(proposal(a))
			if s.members[0].StartAttempt(a) == nil {
				s.Error("rank 0 voted yes in an attempt that names an earlier generation of rank 1")
			}
		},
		// The killed generation may have started the first step of the attempt on
		// the base map, unseen by the peers.
		"a step ahead of the peers": func(s *script) {
			s.expectEpoch(1, 2, 0)
			s.kill(1)
			s.exchangeState(1, 0)
			a := s.attempt(1, 0, 2)
			s.startAttempt(0, a)
			s.deliver(0, 1)
			if s.members[1].Phase() == InDoubt {
				s.Error("rank 1 voted yes in an attempt whose first step it may have started")
			}
		},
		// A rank that finishes before a lower one could miss what that one learns
		// later.
		"recovery in the order of ranks": func(s *script) {
			s.kill(1)
			s.kill(2)
			s.exchangeState(2, 0)
			s.exchangeState(2, 1)
			s.expectEpochOrWait(2, 1, 9) // no map has epoch 9: rank 2 must wait
			if s.members[2].Phase() != Recovering {
				s.Error("rank 2 finished its recovery before rank 1")
			}
			s.exchangeState(1, 0)
			s.exchangeState(1, 2)
			s.deliver(1, 2)
			s.expectEpoch(1, 1, 0)
			s.expectEpoch(2, 1, 0)
		},
		// A peer that has not responded may be the only one that knows of the map
		// in use or of a yes vote.
		"peers not asked": func(s *script) {
			s.kill(1)
			s.exchangeState(1, 0)
			if s.members[1].Phase() != Recovering {
				s.Error("rank 1 finished its recovery without a response of rank 2")
			}
		},
	}
	sizes := map[string]int{
		"vote relayed by another lost rank": 3,
		"recovery in the order of ranks":    3,
		"peers not asked":                   3,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(newScript(t, max(2, sizes[name]))) })
	}
}

// TestColdStart checks that no rank starts the group from the initial map while
// another rank still collects the map in use, even if all ranks that knew the
// map have been lost since then.
func TestColdStart(t *testing.T) {
	s := newScript(t, 3)
	s.startAttempt(0, s.attempt(1, 0, 5))
	for range 4 {
		for r := range 3 {
			s.tick(r)
			s.deliver(r, (r+1)%3)
			s.deliver(r, (r+2)%3)
		}
	}
	s.expectEpoch(0, 5, 1)
	s.kill(0)
	s.kill(2)
	s.exchangeState(0, 2) // rank 2 has not collected any state yet
	s.exchangeState(2, 1)
	s.deliver(0, 1)
	s.drop(1, 0)
	s.kill(1) // only the state collected by rank 2 still names the map
	s.exchangeState(0, 1)
	s.expectEpochOrWait(0, 5, 1)
	s.exchangeState(0, 2)
	s.exchangeState(0, 1)
	s.expectEpochOrWait(0, 5, 1)
	if s.members[0].State().Epoch != 1 && s.members[0].Phase() != Recovering {
		t.Errorf("rank 0 is %s on epoch %d, want epoch 1 or recovering", s.members[0].Phase(), s.members[0].State().Epoch)
	}
}
