package upstream

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

const (
	// prefixSize is the length of the prefix of a prompt that decides where it
	// goes, in bytes.
	prefixSize = 256
	// recentPrefixes is the number of prefixes that a sidecar remembers.
	recentPrefixes = 16
	// digestSize is the length of the digest of a prefix in bytes.
	digestSize = 2
)

// Prefix identifies the beginning of a prompt.
type Prefix uint64

// PrefixOf returns the prefix of a prompt.
func PrefixOf(prompt []byte) Prefix {
	return Prefix(xxh3.Hash(prompt[:min(len(prompt), prefixSize)]))
}

// digest returns the short form of a prefix.
func (p Prefix) digest() uint16 {
	return uint16(p >> 48)
}

// PrefixSet holds the digests of prefixes. It may hold a prefix that was never
// added, at a chance of one in some thousands.
type PrefixSet []byte

// Has reports whether the set holds a prefix.
func (s PrefixSet) Has(p Prefix) bool {
	for i := 0; i+digestSize <= len(s); i += digestSize {
		if binary.BigEndian.Uint16(s[i:]) == p.digest() {
			return true
		}
	}
	return false
}

// RecentPrefixes remembers the prefixes of the last calls on an engine, which probably
// holds them. The zero value is empty and ready for use.
type RecentPrefixes struct {
	mu      sync.Mutex
	digests []uint16
}

// Add remembers a prefix in place of the one not seen for the longest time.
func (r *RecentPrefixes) Add(p Prefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := slices.Index(r.digests, p.digest()); at >= 0 {
		r.digests = slices.Delete(r.digests, at, at+1)
	}
	r.digests = append(r.digests, p.digest())
	if len(r.digests) > recentPrefixes {
		r.digests = slices.Delete(r.digests, 0, 1)
	}
}

// Set returns the prefixes remembered now.
func (r *RecentPrefixes) Set() PrefixSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := make(PrefixSet, 0, len(r.digests)*digestSize)
	for _, digest := range r.digests {
		set = binary.BigEndian.AppendUint16(set, digest)
	}
	return set
}
