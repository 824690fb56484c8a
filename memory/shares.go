package memory

import (
	"sync"

	"github.com/foxtailstack/foxtailstack"
)

// Shares bounds what is held for each party of an Account, so that one of them cannot take
// all of it. The zero value has no bounds. Shares must not be copied after first use.
type Shares struct {
	// Account counts what is held for all parties; nil means that nothing bounds their sum.
	Account *Account
	// Bound is the maximum number of bytes held for one party; zero means that there is none.
	Bound foxtailstack.Bytes

	mu      sync.Mutex
	parties map[string]*party
}

// party is what is held for one party.
type party struct {
	account  Account
	holdings int
}

// Holding returns a new Holding for a party. It must be ended with Release.
func (s *Shares) Holding(name string) *Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.parties[name]
	if !ok {
		p = &party{account: Account{
			Bound:  s.Bound,
			parent: s.Account,
		}}
		if s.parties == nil {
			s.parties = make(map[string]*party)
		}
		s.parties[name] = p
	}
	p.holdings++
	return &Holding{
		Account: &p.account,
		leave:   func() { s.leave(name, p) },
	}
}

// leave ends one Holding of a party, and forgets the party with its last one.
func (s *Shares) leave(name string, p *party) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.holdings--
	if p.holdings == 0 {
		delete(s.parties, name)
	}
}
