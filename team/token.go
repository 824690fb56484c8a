package team

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash returns the form in which the configuration keeps a token.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
