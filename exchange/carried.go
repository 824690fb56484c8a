package exchange

import (
	"hash/maphash"
	"slices"
)

// maxCarried is the number of requests that a connection carries. It bounds the memory for
// their IDs.
const maxCarried = 256

// idSeed is the seed of the hashes of request IDs.
var idSeed = maphash.MakeSeed()

// carriedIDs holds the IDs of the requests that a connection has carried, as hashes, since IDs
// come from callers and may be long. The zero value is empty.
type carriedIDs struct {
	hashes []uint64
}

// add records that a request with an ID is sent. Upstreams do not run those without one.
func (c *carriedIDs) add(id RequestID) {
	if id == "" {
		return
	}
	c.hashes = append(c.hashes, maphash.String(idSeed, string(id)))
}

// has reports whether a request with an ID was sent. Rarely it also does for one that was
// not, which costs a connection.
func (c *carriedIDs) has(id RequestID) bool {
	return slices.Contains(c.hashes, maphash.String(idSeed, string(id)))
}

// full reports whether no further request may be sent.
func (c *carriedIDs) full() bool {
	return len(c.hashes) >= maxCarried
}
