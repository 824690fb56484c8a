package expert

import (
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

// TestPassedAttemptIsTold checks that a rank that has switched sends the
// complete votes of the attempt to a peer that lacks any of them. A rank in
// doubt may know that every rank has seen all yes votes, and yet lack the yes
// vote of an earlier generation of one rank, which only that rank can reaffirm.
func TestPassedAttemptIsTold(t *testing.T) {
	id := AttemptID{1}
	allButOne := AllRanks(3)
	allButOne.Remove(1)
	committed := []Message{{
		From:       1,
		Generation: 2,
		Votes: &Votes{
			ID:        id,
			Yes:       AllRanks(3),
			Confirmed: AllRanks(3),
		},
	}}
	tests := []struct {
		name string
		vote Votes
		want []Message
	}{
		{
			name: "peer lacks a yes and a confirmation",
			vote: Votes{
				ID:        id,
				Yes:       allButOne,
				Confirmed: allButOne,
			},
			want: committed,
		},
		{
			name: "peer lacks a yes",
			vote: Votes{
				ID:        id,
				Yes:       allButOne,
				Confirmed: AllRanks(3),
			},
			want: committed,
		},
		{
			name: "peer has switched too",
			vote: Votes{
				ID:        id,
				Yes:       AllRanks(3),
				Confirmed: AllRanks(3),
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, err := NewMember(1, 3, 2)
			if err != nil {
				t.Fatalf("create member: %v", err)
			}
			m.fire(triggerRecovered)
			m.state = State{
				HasMap:    true,
				Epoch:     1,
				AttemptID: id,
			}
			m.Handle(Message{
				From:       foxtailstack.Rank(0),
				To:         1,
				Generation: 1,
				Votes:      &test.vote,
			})
			if diff := cmp.Diff(test.want, m.TakeMessages()); diff != "" {
				t.Errorf("messages sent (-want +got):\n%s", diff)
			}
		})
	}
}
