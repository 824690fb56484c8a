package balance

import "github.com/zeebo/xxh3"

// prefixSize is the length of the prefix of a prompt that decides its home, in
// bytes.
const prefixSize = 256

// Prefix identifies the beginning of a prompt.
type Prefix uint64

// PrefixOf returns the prefix of a prompt.
func PrefixOf(prompt []byte) Prefix {
	return Prefix(xxh3.Hash(prompt[:min(len(prompt), prefixSize)]))
}

// weigh returns the rank of an upstream for a prefix by rendezvous hashing; the
// highest wins. D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
// Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
func weigh(prefix Prefix, upstream uint64) uint64 {
	x := uint64(prefix) ^ upstream
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
