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
	teams    map[[sha256.Size]byte]known
}

// known is a hash as the configuration keeps it, with its team.
type known struct {
	hash string
	team foxtailstack.TeamName
}

// Caller returns the team that a caller's token belongs to. The table is keyed
// by the hash of the token, so that the time of the look-up tells nothing of a
// token that the caller does not have.
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

// newTable returns the table of a snapshot.
func newTable(snapshot *fleet.Snapshot) *table {
	t := &table{
		snapshot: snapshot,
		teams:    map[[sha256.Size]byte]known{},
	}
	for name, team := range snapshot.Teams {
		for _, hash := range team.Callers {
			sum, err := hex.DecodeString(hash)
			if err != nil || len(sum) != sha256.Size {
				continue
			}
			t.teams[[sha256.Size]byte(sum)] = known{
				hash: hash,
				team: name,
			}
		}
	}
	return t
}
