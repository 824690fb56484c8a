package upstream

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

const (
	// prefixSize is the length in bytes of the part of a request body that identifies it
	// for prefix-cache affinity.
	prefixSize = 256
	// maxRecentPrefixes is the maximum number of prefixes in a RecentPrefixes.
	maxRecentPrefixes = 16
	// digestSize is the length of the digest of a prefix in bytes.
	digestSize = 2
)

// Prefix is the hash of the first 256 bytes of a request body.
type Prefix uint64

// PrefixOf returns the prefix of a request body.
func PrefixOf(body []byte) Prefix {
	return Prefix(xxh3.Hash(body[:min(len(body), prefixSize)]))
}

// digest returns the upper 16 bits of the hash.
func (p Prefix) digest() uint16 {
	return uint16(p >> 48)
}

// PrefixSet is a set of prefixes, stored as digests. Has may report a prefix that was
// never added. With 16 prefixes of 16 bits the chance is about one in 4096.
type PrefixSet []byte

// Has reports whether the set probably contains a prefix.
func (s PrefixSet) Has(p Prefix) bool {
	for i := 0; i+digestSize <= len(s); i += digestSize {
		if binary.BigEndian.Uint16(s[i:]) == p.digest() {
			return true
		}
	}
	return false
}

// RecentPrefixes records the prefixes of the most recent calls on an engine, which its
// prefix cache probably holds. The zero value is empty and ready for use.
type RecentPrefixes struct {
	mu      sync.Mutex
	digests []uint16
}

// Add adds a prefix and evicts the least recently added one if there are too many.
func (r *RecentPrefixes) Add(p Prefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := slices.Index(r.digests, p.digest()); at >= 0 {
		r.digests = slices.Delete(r.digests, at, at+1)
	}
	r.digests = append(r.digests, p.digest())
	if len(r.digests) > maxRecentPrefixes {
		r.digests = slices.Delete(r.digests, 0, 1)
	}
}

// Set returns the recorded prefixes.
func (r *RecentPrefixes) Set() PrefixSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := make(PrefixSet, 0, len(r.digests)*digestSize)
	for _, digest := range r.digests {
		set = binary.BigEndian.AppendUint16(set, digest)
	}
	return set
}
