package expert

import (
	"math/bits"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/zeebo/xxh3"
)

// MaxRanks is the number of ranks of the largest group.
const MaxRanks = 128

// wordBits is the number of ranks in one word of a Ranks.
const wordBits = 64

// Ranks is a set of ranks. The zero value is empty.
type Ranks [MaxRanks / wordBits]uint64

// All returns the set of the first n ranks.
func All(n int) Ranks {
	var s Ranks
	for r := range n {
		s.Add(foxtailstack.Rank(r))
	}
	return s
}

// Add adds r to s.
func (s *Ranks) Add(r foxtailstack.Rank) {
	s[r/wordBits] |= 1 << (r % wordBits)
}

// Remove removes r from s.
func (s *Ranks) Remove(r foxtailstack.Rank) {
	s[r/wordBits] &^= 1 << (r % wordBits)
}

// Has reports whether r is in s.
func (s Ranks) Has(r foxtailstack.Rank) bool {
	return s[r/wordBits]&(1<<(r%wordBits)) != 0
}

// Union returns the ranks that are in s or in other.
func (s Ranks) Union(other Ranks) Ranks {
	for i := range s {
		s[i] |= other[i]
	}
	return s
}

// Count returns the number of ranks in s.
func (s Ranks) Count() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// Life orders the incarnations of the sidecar of one rank; a higher one replaces
// a lower one. It starts as the time of the start in nanoseconds and is raised
// by a restarted sidecar whose peers know a higher one. Zero means unknown.
type Life uint64

// Ballot orders attempts: by epoch, and within an epoch by try.
type Ballot struct {
	Epoch foxtailstack.Epoch `cbor:"1,keyasint"`
	Try   uint32             `cbor:"2,keyasint"`
}

// Before reports whether b orders before other.
func (b Ballot) Before(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}
	return b.Try < other.Try
}

// AttemptID is the hash of an Attempt. The zero value stands for none.
type AttemptID [16]byte

// Attempt is one vote on switching to the map of an epoch. It never changes.
type Attempt struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// Base is the epoch of the map that the new one replaces.
	Base foxtailstack.Epoch `cbor:"2,keyasint"`
	// Digest is the hash of the new map.
	Digest uint64 `cbor:"3,keyasint"`
	// Step is the first step on the new map.
	Step foxtailstack.Step `cbor:"4,keyasint"`
	// Lives are the lives of the ranks that may vote.
	Lives []Life `cbor:"5,keyasint"`
}

// ID returns the hash of a.
func (a *Attempt) ID() AttemptID {
	data, err := wire.Marshal(a)
	if err != nil {
		panic(err) // an Attempt holds nothing that CBOR cannot encode
	}
	return AttemptID(xxh3.Hash128(data).Bytes())
}

// Held is an attempt with the votes that a rank holds in it.
type Held struct {
	Attempt *Attempt  `cbor:"1,keyasint"`
	ID      AttemptID `cbor:"2,keyasint"`
	// Yes are the ranks whose yes is held.
	Yes Ranks `cbor:"3,keyasint"`
	// Full are the ranks known to have held the yes of every rank.
	Full Ranks `cbor:"4,keyasint"`
}
