package expert

import (
	"testing"

	"github.com/foxtailstack/foxtailstack"
)

// link is the way from one rank to another.
type link struct {
	from, to foxtailstack.Rank
}

// script drives the members of a small group by hand. Messages wait on their
// link until they are delivered, also when their sender is killed.
type script struct {
	*testing.T
	members []*Member
	wires   map[link][]Message
}

// newScript returns a group that has started and begun its first step.
func newScript(t *testing.T, size int) *script {
	s := &script{
		T:       t,
		members: (&searcher{bounds: bounds{ranks: size}}).start(t),
		wires:   map[link][]Message{},
	}
	for r := range s.members {
		s.begin(r, 1, 0)
	}
	return s
}

// collect puts what a member sends on its links.
func (s *script) collect(r int) {
	for _, msg := range s.members[r].Take() {
		l := link{msg.From, msg.To}
		s.wires[l] = append(s.wires[l], msg)
	}
}

// tick ticks a member a few times.
func (s *script) tick(r int) {
	for range len(s.members) {
		s.members[r].Tick()
		s.collect(r)
	}
}

// deliver delivers what waits on a link.
func (s *script) deliver(from, to int) {
	l := link{foxtailstack.Rank(from), foxtailstack.Rank(to)}
	waiting := s.wires[l]
	s.wires[l] = nil
	for _, msg := range waiting {
		s.members[to].Handle(msg)
		s.collect(to)
	}
}

// drop loses what waits on a link.
func (s *script) drop(from, to int) {
	s.wires[link{foxtailstack.Rank(from), foxtailstack.Rank(to)}] = nil
}

// ask lets a member ask a peer and take the answer.
func (s *script) ask(r, peer int) {
	s.tick(r)
	s.deliver(r, peer)
	s.deliver(peer, r)
}

// kill replaces a member by its next life.
func (s *script) kill(r int) {
	m, err := NewMember(foxtailstack.Rank(r), len(s.members), s.members[r].life+1)
	if err != nil {
		s.Fatal(err)
	}
	s.members[r] = m
}

// attempt returns an attempt for the present lives.
func (s *script) attempt(epoch, base foxtailstack.Epoch, step foxtailstack.Step) *Attempt {
	a := &Attempt{
		Ballot: Ballot{Epoch: epoch},
		Base:   base,
		Step:   step,
	}
	for _, m := range s.members {
		a.Lives = append(a.Lives, m.life)
	}
	return a
}

// vote begins an attempt that all ranks have staged.
func (s *script) vote(r int, a *Attempt) {
	for _, m := range s.members {
		m.Stage(proposal(a))
	}
	err := s.members[r].Attempt(a)
	if err != nil {
		s.Fatal(err)
	}
	s.tick(r)
}

// begin expects a rank to begin a step on an epoch.
func (s *script) begin(r int, step foxtailstack.Step, want foxtailstack.Epoch) {
	s.Helper()
	epoch, ok := s.members[r].Begin(step)
	if !ok || epoch != want {
		s.Errorf("rank %d begins step %d on epoch %d, %t, want epoch %d", r, step, epoch, ok, want)
	}
}

// held expects a rank not to begin a step on another epoch than given.
func (s *script) held(r int, step foxtailstack.Step, only foxtailstack.Epoch) {
	s.Helper()
	epoch, ok := s.members[r].Begin(step)
	if ok && epoch != only {
		s.Errorf("rank %d begins step %d on epoch %d, want epoch %d or none", r, step, epoch, only)
	}
}

func TestGuards(t *testing.T) {
	tests := map[string]func(*script){
		"late vote of a lost rank": func(s *script) {
			s.vote(0, s.attempt(1, 0, 5))
			s.deliver(0, 1)
			s.tick(1)
			s.kill(1)
			late := s.wires[link{1, 0}]
			s.drop(1, 0)
			s.ask(1, 0)
			s.begin(1, 5, 0)
			s.wires[link{1, 0}] = late
			s.deliver(1, 0)
			s.held(0, 5, 0)
		},
		"vote relayed by another lost rank": func(s *script) {
			s.vote(0, s.attempt(1, 0, 5))
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
			s.ask(1, 0)
			s.ask(1, 2)
			s.begin(1, 5, 0)
			s.deliver(2, 0)
			s.held(0, 5, 0)
		},
		"a yes that a peer holds stands": func(s *script) {
			s.vote(0, s.attempt(1, 0, 5))
			s.deliver(0, 1)
			s.tick(1)
			s.deliver(1, 0)
			s.kill(1)
			s.ask(1, 0)
			s.held(1, 5, 1)
			s.ask(1, 0)
			s.ask(0, 1)
			s.begin(0, 5, 1)
			s.begin(1, 5, 1)
		},
		"every rank was full": func(s *script) {
			a := s.attempt(1, 0, 5)
			s.vote(0, a)
			full := &Vote{
				ID:   a.ID(),
				Full: All(2),
			}
			s.members[0].Handle(Message{
				From: 1,
				Life: 2,
				Vote: full,
			})
			s.kill(1)
			s.members[1].fire(triggerResolve)
			s.members[1].state = State{ // as learned from ranks that have switched
				Known: true,
				Epoch: 1,
				ID:    a.ID(),
			}
			s.drop(0, 1)
			s.ask(0, 1)
			s.begin(0, 5, 1)
		},
		"a no is final": func(s *script) {
			a := s.attempt(1, 0, 5)
			s.vote(0, a)
			s.members[1].Stage(Proposal{})
			s.deliver(0, 1)
			s.drop(1, 0)
			s.members[1].Stage(proposal(a))
			s.tick(0)
			s.deliver(0, 1)
			if s.members[1].Attempt(a) == nil || s.members[1].Phase() == Sealed {
				s.Error("rank 1 said yes after no")
			}
		},
		"another base": func(s *script) {
			a := s.attempt(2, 1, 5)
			if s.members[0].Stage(proposal(a)); s.members[0].Attempt(a) == nil {
				s.Error("rank 0 said yes to an attempt on a map that it does not use")
			}
		},
		"own former life named": func(s *script) {
			a := s.attempt(1, 0, 5)
			s.kill(1)
			s.ask(1, 0)
			s.vote(0, s.attempt(1, 0, 9))
			s.members[1].Stage(proposal(a))
			if s.members[1].Attempt(a) == nil {
				s.Error("rank 1 voted for its former life")
			}
		},
		"former life of a peer named": func(s *script) {
			a := s.attempt(1, 0, 5)
			s.kill(1)
			s.ask(1, 0)
			s.members[0].Stage(proposal(a))
			if s.members[0].Attempt(a) == nil {
				s.Error("rank 0 voted with a life that is gone")
			}
		},
		"a step ahead of the peers": func(s *script) {
			s.begin(1, 2, 0)
			s.kill(1)
			s.ask(1, 0)
			a := s.attempt(1, 0, 2)
			s.vote(0, a)
			s.deliver(0, 1)
			if s.members[1].Phase() == Sealed {
				s.Error("rank 1 said yes to a step that it may have begun")
			}
		},
		"recovery in the order of ranks": func(s *script) {
			s.kill(1)
			s.kill(2)
			s.ask(2, 0)
			s.ask(2, 1)
			s.held(2, 1, 9)
			if s.members[2].Phase() != Recovering {
				s.Error("rank 2 did not wait for rank 1")
			}
			s.ask(1, 0)
			s.ask(1, 2)
			s.deliver(1, 2)
			s.begin(1, 1, 0)
			s.begin(2, 1, 0)
		},
		"peers not asked": func(s *script) {
			s.kill(1)
			s.ask(1, 0)
			if s.members[1].Phase() != Recovering {
				s.Error("rank 1 did not wait for rank 2")
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

// TestColdStart expects that no rank starts the group anew while another one
// still learns of its map from a rank that has gone since.
func TestColdStart(t *testing.T) {
	s := newScript(t, 3)
	s.vote(0, s.attempt(1, 0, 5))
	for range 4 {
		for r := range 3 {
			s.tick(r)
			s.deliver(r, (r+1)%3)
			s.deliver(r, (r+2)%3)
		}
	}
	s.begin(0, 5, 1)
	s.kill(0)
	s.kill(2)
	s.ask(0, 2) // rank 2 knows nothing yet
	s.ask(2, 1)
	s.deliver(0, 1)
	s.drop(1, 0)
	s.kill(1) // all that is left of the map is what rank 2 has gathered
	s.ask(0, 1)
	s.held(0, 5, 1)
	s.ask(0, 2)
	s.ask(0, 1)
	s.held(0, 5, 1)
	if s.members[0].State().Epoch != 1 && s.members[0].Phase() != Recovering {
		t.Errorf("rank 0 is %s on epoch %d", s.members[0].Phase(), s.members[0].State().Epoch)
	}
}
