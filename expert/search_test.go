package expert

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/zeebo/xxh3"
)

const (
	// walkCount is the number of random walks in each test case.
	walkCount = 1000
	// walkLength is the number of events in a random walk.
	walkLength = 150
)

// bounds limits a search of the states of a small group.
type bounds struct {
	ranks, steps, kills int
	// planners are the ranks that start one attempt each, in this order.
	planners []foxtailstack.Rank
	// cold starts the search from members that know of no map.
	cold bool
}

// groupState is one state of the group: its members, every message ever sent,
// and the steps started. Messages are never removed from sent, so that each may
// be lost, delayed, reordered or repeated.
type groupState struct {
	members []*Member
	// hashes are the hashes of the members.
	hashes []uint64
	// sent is a set of bits, indexed by message number.
	sent []uint64
	// started is the last step that each rank has started.
	started []foxtailstack.Step
	// repeatStep marks the ranks that start their last step again after a kill.
	repeatStep []bool
	// stepEpochs is the epoch on which each step was started, or -1.
	stepEpochs []int
	// attempts is the number of attempts started by planners.
	attempts int
	kills    int
	trace    *traceEntry
}

// traceEntry is one event of the sequence that led to a state.
type traceEntry struct {
	text     string
	previous *traceEntry
}

// searcher explores the states of a group within its bounds.
type searcher struct {
	bounds
	messages       []Message
	messageNumbers map[uint64]int
	seen           map[xxh3.Uint128]bool
	queue          []*groupState
	failure        string
	switched       bool
}

// TestSearch visits all states within the bounds and checks that no step is started
// on two epochs.
func TestSearch(t *testing.T) {
	tests := map[string]bounds{
		"cold start": {
			ranks: 2,
			steps: 1,
			kills: 1,
			cold:  true,
		},
		"two ranks": {
			ranks:    2,
			steps:    3,
			kills:    1,
			planners: []foxtailstack.Rank{0},
		},
		"no kill": {
			ranks:    2,
			steps:    4,
			planners: []foxtailstack.Rank{0, 1},
		},
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSearcher(b)
			s.queue = []*groupState{s.initialState(t)}
			for len(s.queue) > 0 && s.failure == "" {
				state := s.queue[0]
				s.queue[0] = nil
				s.queue = s.queue[1:]
				for _, event := range s.events(state) {
					s.enqueue(event())
				}
			}
			s.check(t)
			t.Logf("%d states, %d messages", len(s.seen), len(s.messages))
		})
	}
}

// TestWalk checks by random walks, within bounds too wide for TestSearch, that no
// step is started on two epochs.
func TestWalk(t *testing.T) {
	tests := map[string]bounds{
		"cold start": {
			ranks:    3,
			steps:    2,
			kills:    3,
			cold:     true,
			planners: []foxtailstack.Rank{0},
		},
		"one planner": {
			ranks:    3,
			steps:    3,
			kills:    2,
			planners: []foxtailstack.Rank{1},
		},
		"two planners": {
			ranks:    3,
			steps:    6,
			kills:    2,
			planners: []foxtailstack.Rank{0, 2, 1},
		},
		"two ranks": {
			ranks:    2,
			steps:    8,
			kills:    1,
			planners: []foxtailstack.Rank{0, 1, 0},
		},
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(walkCount) {
				s := newSearcher(b)
				rng := rand.New(rand.NewPCG(seed, 1))
				state := s.initialState(t)
				for range walkLength {
					if s.failure != "" {
						break
					}
					events := s.events(state)
					state = events[rng.IntN(len(events))]()
				}
				if s.failure != "" {
					t.Fatalf("seed %d: %s", seed, s.failure)
				}
			}
		})
	}
}

// newSearcher returns a searcher that has reached no state yet.
func newSearcher(b bounds) *searcher {
	return &searcher{
		bounds:         b,
		messageNumbers: map[uint64]int{},
		seen:           map[xxh3.Uint128]bool{},
	}
}

// check fails the test on a recorded failure, or if no step on a new map was
// reached although there are planners.
func (s *searcher) check(t *testing.T) {
	if s.failure != "" {
		t.Fatal(s.failure)
	}
	if len(s.planners) > 0 && !s.switched {
		t.Error("search reached no step on a new map")
	}
}

// initialState returns the state from which the search starts.
func (s *searcher) initialState(t *testing.T) *groupState {
	state := &groupState{
		started:    make([]foxtailstack.Step, s.ranks),
		repeatStep: make([]bool, s.ranks),
		stepEpochs: make([]int, s.steps+1),
		members:    s.startMembers(t),
	}
	for i := range state.stepEpochs {
		state.stepEpochs[i] = -1
	}
	for _, m := range state.members {
		state.hashes = append(state.hashes, hash(m))
	}
	return state
}

// startMembers returns the members. They have recovered without faults, unless
// cold is set.
func (s *searcher) startMembers(t *testing.T) []*Member {
	members := make([]*Member, s.ranks)
	for r := range members {
		m, err := NewMember(foxtailstack.Rank(r), s.ranks, 1)
		if err != nil {
			t.Fatalf("create member of rank %d: %v", r, err)
		}
		members[r] = m
	}
	for i := 0; i < 10 && !s.cold; i++ {
		for _, m := range members {
			m.Tick()
			for _, msg := range m.TakeMessages() {
				members[msg.To].Handle(msg)
				for _, back := range members[msg.To].TakeMessages() {
					members[back.To].Handle(back)
				}
			}
		}
	}
	for _, m := range members {
		m.TakeMessages()
		m.TakeEvents()
	}
	return members
}

// events returns all events that may come next. Calling one returns the state
// after it.
func (s *searcher) events(state *groupState) []func() *groupState {
	var events []func() *groupState
	add := func(event func() *groupState) { events = append(events, event) }
	for i, msg := range s.messages {
		if i/64 >= len(state.sent) || state.sent[i/64]&(1<<(i%64)) == 0 || msg.Generation > state.members[msg.From].generation {
			continue
		}
		text := fmt.Sprintf("deliver %d", i)
		add(func() *groupState {
			return s.apply(state, int(msg.To), text, func(m *Member) { m.Handle(msg) })
		})
		if msg.Votes != nil && msg.Votes.Attempt != nil {
			add(func() *groupState {
				return s.apply(state, int(msg.To), text+" staged", func(m *Member) {
					m.Stage(proposal(msg.Votes.Attempt))
					m.Handle(msg)
				})
			})
		}
	}
	for r := range state.members {
		add(func() *groupState { return s.apply(state, r, fmt.Sprintf("tick %d", r), (*Member).Tick) })
		add(func() *groupState { return s.startStep(state, r) })
		if state.kills < s.kills {
			add(func() *groupState { return s.kill(state, r) })
		}
	}
	if state.attempts < len(s.planners) {
		for lead := range 2 {
			add(func() *groupState { return s.attempt(state, int(s.planners[state.attempts]), foxtailstack.Step(lead)) })
		}
	}
	return events
}

// apply returns the state after an event at one member. It withdraws the staged
// map and reduces the tick count, to keep the number of states finite.
func (s *searcher) apply(from *groupState, r int, text string, event func(*Member)) *groupState {
	next := *from
	m := clone(from.members[r])
	event(m)
	m.Stage(Proposal{})
	if s.ranks > 1 {
		m.tickCount %= s.ranks - 1
	}
	m.TakeEvents()
	out := m.TakeMessages()
	next.members = append([]*Member(nil), from.members...)
	next.members[r] = m
	next.hashes = append([]uint64(nil), from.hashes...)
	next.hashes[r] = hash(m)
	next.sent = append([]uint64(nil), from.sent...)
	for _, msg := range out {
		next.addMessage(s.messageNumber(msg))
	}
	next.trace = &traceEntry{
		text:     text,
		previous: from.trace,
	}
	return &next
}

// startStep makes a rank start its next step, in lock-step with the others, and
// returns the state after it. It records a failure if another rank started the
// step on another epoch.
func (s *searcher) startStep(from *groupState, r int) *groupState {
	step := from.started[r] + 1
	if from.repeatStep[r] {
		step = from.started[r]
	}
	for _, other := range from.started {
		if other+1 < step {
			return from
		}
	}
	m := clone(from.members[r])
	epoch, ok := m.Begin(step)
	if int(step) > s.steps || !ok {
		return from
	}
	next := *from
	next.stepEpochs = append([]int(nil), from.stepEpochs...)
	next.started = append([]foxtailstack.Step(nil), from.started...)
	next.repeatStep = append([]bool(nil), from.repeatStep...)
	next.started[r] = step
	next.repeatStep[r] = false
	s.switched = s.switched || epoch > 0
	text := fmt.Sprintf("rank %d starts step %d on epoch %d", r, step, epoch)
	if next.stepEpochs[step] >= 0 && next.stepEpochs[step] != int(epoch) {
		s.failure = text + ", other ranks on " + fmt.Sprint(next.stepEpochs[step])
		for entry := from.trace; entry != nil; entry = entry.previous {
			s.failure += "\n  after " + entry.text
		}
		for i, msg := range s.messages {
			s.failure += fmt.Sprintf("\n%d: %s", i, describe(msg))
		}
	}
	next.stepEpochs[step] = int(epoch)
	return s.apply(&next, r, text, func(m *Member) { m.Begin(step) })
}

// kill replaces a member by one of the next generation, which repeats the last
// step.
func (s *searcher) kill(from *groupState, r int) *groupState {
	next := *from
	next.kills++
	next.repeatStep = append([]bool(nil), from.repeatStep...)
	next.repeatStep[r] = from.started[r] > 0
	return s.apply(&next, r, fmt.Sprintf("kill %d", r), func(m *Member) {
		fresh, _ := NewMember(m.rank, m.size, m.generation+1)
		*m = *fresh
	})
}

// attempt makes a planner start an attempt.
func (s *searcher) attempt(from *groupState, r int, lead foxtailstack.Step) *groupState {
	next := *from
	next.attempts++
	a := &Attempt{
		Ballot:    Ballot{Epoch: foxtailstack.Epoch(next.attempts)},
		Base:      from.members[r].state.Epoch,
		FirstStep: from.started[r] + 1 + lead,
	}
	for _, m := range from.members {
		a.Generations = append(a.Generations, m.generation)
	}
	return s.apply(&next, r, fmt.Sprintf("rank %d attempts %+v", r, *a), func(m *Member) {
		m.Stage(proposal(a))
		_ = m.StartAttempt(a) // fails if the planner cannot vote yes
	})
}

// enqueue queues a state that has not been reached before.
func (s *searcher) enqueue(state *groupState) {
	var key []byte
	for _, h := range state.hashes {
		key = binary.LittleEndian.AppendUint64(key, h)
	}
	for _, word := range state.sent {
		key = binary.LittleEndian.AppendUint64(key, word)
	}
	key = fmt.Append(key, state.started, state.repeatStep, state.stepEpochs, state.attempts, state.kills)
	sum := xxh3.Hash128(key)
	if !s.seen[sum] {
		s.seen[sum] = true
		s.queue = append(s.queue, state)
	}
}

// messageNumber returns the number of a message, which is the same for equal
// messages.
func (s *searcher) messageNumber(msg Message) int {
	key := xxh3.HashString(describe(msg))
	i, ok := s.messageNumbers[key]
	if !ok {
		i = len(s.messages)
		s.messageNumbers[key] = i
		s.messages = append(s.messages, msg)
	}
	return i
}

// addMessage adds a message to those sent.
func (g *groupState) addMessage(i int) {
	for i/64 >= len(g.sent) {
		g.sent = append(g.sent, 0)
	}
	g.sent[i/64] |= 1 << (i % 64)
}

// describe returns the whole content of a message as text.
func describe(msg Message) string {
	text := fmt.Sprint(msg.From, msg.To, msg.Generation)
	switch {
	case msg.Votes != nil:
		v := *msg.Votes
		v.Attempt = nil
		return text + fmt.Sprintf(" votes %+v with attempt: %t", v, msg.Votes.Attempt != nil)
	case msg.StateRequest != nil:
		return text + fmt.Sprintf(" state request %+v", *msg.StateRequest)
	case msg.StateResponse != nil:
		return text + fmt.Sprintf(" state response %+v", *msg.StateResponse)
	}
	return text + fmt.Sprintf(" outdated %+v", *msg.Outdated)
}

// proposal returns the proposal that a rank must have staged for an attempt.
func proposal(a *Attempt) Proposal {
	return Proposal{
		Epoch:  a.Ballot.Epoch,
		Digest: a.Digest,
	}
}

// clone returns a copy of m that can be changed without changing m. It copies only
// generations: members replace all other slices and never change them in place.
func clone(m *Member) *Member {
	c := *m
	c.generations = append([]Generation(nil), m.generations...)
	return &c
}

// hash returns a hash of the state of m.
func hash(m *Member) uint64 {
	return xxh3.HashString(fmt.Sprintf("%v", *m))
}
