package team

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash returns the hexadecimal SHA-256 hash of a token, as the configuration
// stores it.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
