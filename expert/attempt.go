package expert

import (
	"math/bits"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/zeebo/xxh3"
)

// MaxRanks is the number of ranks of the largest group.
const MaxRanks = 128

// wordBits is the number of ranks in one word of a RankSet.
const wordBits = 64

// RankSet is a set of ranks. The zero value is empty.
type RankSet [MaxRanks / wordBits]uint64

// AllRanks returns the set of the ranks 0 to n-1.
func AllRanks(n int) RankSet {
	var s RankSet
	for r := range n {
		s.Add(foxtailstack.Rank(r))
	}
	return s
}

// Add adds r to s.
func (s *RankSet) Add(r foxtailstack.Rank) {
	s[r/wordBits] |= 1 << (r % wordBits)
}

// Remove removes r from s.
func (s *RankSet) Remove(r foxtailstack.Rank) {
	s[r/wordBits] &^= 1 << (r % wordBits)
}

// Has reports whether r is in s.
func (s RankSet) Has(r foxtailstack.Rank) bool {
	return s[r/wordBits]&(1<<(r%wordBits)) != 0
}

// Union returns the ranks that are in s or in other.
func (s RankSet) Union(other RankSet) RankSet {
	for i := range s {
		s[i] |= other[i]
	}
	return s
}

// Count returns the number of ranks in s.
func (s RankSet) Count() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// Generation numbers the runs of one rank's sidecar, in increasing but not
// consecutive numbers. A higher generation supersedes a lower one: messages of
// the lower one are rejected. A sidecar starts with its start time in nanoseconds
// since 1970; while it recovers, it takes a higher number if a peer has seen one.
// Zero means unknown.
type Generation uint64

// Ballot orders attempts by epoch, and within an epoch by try.
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

// AttemptID is the 128-bit XXH3 hash of an Attempt encoded in CBOR. The zero value
// stands for no attempt.
type AttemptID [16]byte

// Attempt is one vote of all ranks on switching to the map of an epoch. It is
// immutable.
type Attempt struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// Base is the epoch of the map that the new map replaces.
	Base foxtailstack.Epoch `cbor:"2,keyasint"`
	// Digest is the hash of the new map, as in Proposal.
	Digest uint64 `cbor:"3,keyasint"`
	// FirstStep is the first step on the new map.
	FirstStep foxtailstack.Step `cbor:"4,keyasint"`
	// Generations are the generations of the ranks that may vote, indexed by
	// rank.
	Generations []Generation `cbor:"5,keyasint"`
}

// ID returns the hash of a.
func (a *Attempt) ID() AttemptID {
	data, err := wire.Marshal(a)
	if err != nil {
		panic(err) // an Attempt holds nothing that CBOR cannot encode
	}
	return AttemptID(xxh3.Hash128(data).Bytes())
}

// VoteRecord is an attempt with the votes in it that one rank has seen.
type VoteRecord struct {
	Attempt *Attempt  `cbor:"1,keyasint"`
	ID      AttemptID `cbor:"2,keyasint"`
	// Yes are the ranks whose yes votes have been seen.
	Yes RankSet `cbor:"3,keyasint"`
	// Confirmed are the ranks known to have seen the yes votes of all ranks.
	Confirmed RankSet `cbor:"4,keyasint"`
}
