package quarantine

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/xxh3"
)

// Fingerprint identifies equal requests. Requests that a caller sends again have the
// same fingerprint, whatever their request ID.
type Fingerprint [16]byte

// FingerprintOf returns the 128-bit xxh3 hash of the parts of a request that stay the
// same when its caller sends it again. The boundaries between the parts count too.
func FingerprintOf(parts ...[]byte) Fingerprint {
	var h xxh3.Hasher
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = h.Write(part)
	}
	return h.Sum128().Bytes()
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}
