package balance

import "github.com/foxtailstack/foxtailstack/upstream"

// weigh returns the rank of an upstream for a prefix by rendezvous hashing; the
// highest wins. D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
// Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
func weigh(prefix upstream.Prefix, peerHash uint64) uint64 {
	x := uint64(prefix) ^ peerHash
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
