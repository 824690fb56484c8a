package team

import (
	"crypto/subtle"
	"fmt"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/google/go-cmp/cmp"
)

// manyTeams returns a configuration of n teams with three callers each.
func manyTeams(n int) *fleet.Snapshot {
	snapshot := &fleet.Snapshot{Teams: map[foxtailstack.TeamName]fleet.Team{}}
	for i := range n {
		name := foxtailstack.TeamName(fmt.Sprintf("team%d", i))
		snapshot.Teams[name] = fleet.Team{Callers: []string{
			Hash(fmt.Sprint(i, "-a")), Hash(fmt.Sprint(i, "-b")), Hash(fmt.Sprint(i, "-c")),
		}}
	}
	return snapshot
}

func TestIndexCaller(t *testing.T) {
	first, second := manyTeams(3), manyTeams(5)
	tests := []struct {
		name     string
		snapshot *fleet.Snapshot
		token    string
		want     foxtailstack.TeamName
	}{
		{
			name:     "known",
			snapshot: first,
			token:    "2-c",
			want:     "team2",
		},
		{
			name:     "unknown",
			snapshot: first,
			token:    "4-a",
			want:     "",
		},
		{
			name:     "empty",
			snapshot: first,
			token:    "",
			want:     "",
		},
		{
			name:     "the hash itself",
			snapshot: first,
			token:    Hash("2-c"),
			want:     "",
		},
		{
			name:     "added by a later snapshot",
			snapshot: second,
			token:    "4-a",
			want:     "team4",
		},
		{
			name:     "not in the earlier snapshot",
			snapshot: first,
			token:    "4-a",
			want:     "",
		},
		{
			name:     "no configuration",
			snapshot: &fleet.Snapshot{},
			token:    "2-c",
			want:     "",
		},
	}
	var x Index
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := x.Caller(test.snapshot, test.token)
			if diff := cmp.Diff(test.want, got); diff != "" || ok != (test.want != "") {
				t.Errorf("Caller(%q): ok %t, team (-want +got):\n%s", test.token, ok, diff)
			}
		})
	}
}

// scan finds a team by comparing a token with all hashes. It is the reference that
// BenchmarkCaller compares the index with.
func scan(snapshot *fleet.Snapshot, token string) (foxtailstack.TeamName, bool) {
	hash := []byte(Hash(token))
	found, ok := foxtailstack.TeamName(""), false
	for name, team := range snapshot.Teams {
		for _, known := range team.Callers {
			if subtle.ConstantTimeCompare(hash, []byte(known)) == 1 {
				found, ok = name, true
			}
		}
	}
	return found, ok
}

func BenchmarkCaller(b *testing.B) {
	snapshot := manyTeams(680)
	var x Index
	for name, find := range map[string]func(*fleet.Snapshot, string) (foxtailstack.TeamName, bool){
		"scan":  scan,
		"index": x.Caller,
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, ok := find(snapshot, "500-b"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			newTable(snapshot)
		}
	})
}
