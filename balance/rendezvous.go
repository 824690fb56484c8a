package balance

import "github.com/foxtailstack/foxtailstack/upstream"

// rendezvousScore returns the rendezvous hashing score of an endpoint for a
// prefix. The endpoint with the highest score is the first choice for the prefix.
// D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// IEEE/ACM Transactions on Networking 6(1), 1998. The score is the finalizer of
// SplitMix64 applied to the combined hashes.
func rendezvousScore(prefix upstream.Prefix, endpointHash uint64) uint64 {
	x := uint64(prefix) ^ endpointHash
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
