package team

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync/atomic"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
)

// Index finds the teams of callers' tokens. It builds a table once for each
// snapshot. The zero value is ready for use, by several goroutines.
type Index struct {
	current atomic.Pointer[table]
}

// table holds the teams of one snapshot by the hashes of their tokens.
type table struct {
	snapshot *fleet.Snapshot
	teams    map[[sha256.Size]byte]callerHash
}

// callerHash is the hexadecimal hash of a caller's token, as stored in the
// configuration, with the caller's team.
type callerHash struct {
	hash string
	team foxtailstack.TeamName
}

// Caller returns the team that a caller's token belongs to. The table is keyed
// by the hash of the token, so that the duration of the look-up reveals nothing
// about valid tokens. The stored hash must also equal the lower-case hexadecimal
// form: a hash stored in upper case matches no token.
func (x *Index) Caller(snapshot *fleet.Snapshot, token string) (foxtailstack.TeamName, bool) {
	t := x.current.Load()
	if t == nil || t.snapshot != snapshot {
		t = newTable(snapshot)
		x.current.Store(t)
	}
	sum := sha256.Sum256([]byte(token))
	found, ok := t.teams[sum]
	if !ok || subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(found.hash)) != 1 {
		return "", false
	}
	return found.team, true
}

// newTable returns the table of a snapshot. It skips hashes that are not a SHA-256
// in hexadecimal.
func newTable(snapshot *fleet.Snapshot) *table {
	t := &table{
		snapshot: snapshot,
		teams:    map[[sha256.Size]byte]callerHash{},
	}
	for name, team := range snapshot.Teams {
		for _, hash := range team.Callers {
			sum, err := hex.DecodeString(hash)
			if err != nil || len(sum) != sha256.Size {
				continue
			}
			t.teams[[sha256.Size]byte(sum)] = callerHash{
				hash: hash,
				team: name,
			}
		}
	}
	return t
}
