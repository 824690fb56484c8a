package team

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
)

// Hash returns the form in which the configuration keeps a token.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Caller returns the team that a caller's token belongs to.
func Caller(snapshot *fleet.Snapshot, token string) (foxtailstack.TeamName, bool) {
	hash := []byte(Hash(token))
	found := foxtailstack.TeamName("")
	ok := false
	for name, team := range snapshot.Teams {
		for _, known := range team.Callers {
			if subtle.ConstantTimeCompare(hash, []byte(known)) == 1 {
				found, ok = name, true
			}
		}
	}
	return found, ok
}
