package expert

import (
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

// A sealed rank may know that every rank held every yes, and yet lack the yes of
// a former life of one rank, which only that rank can stand by.
func TestPassedAttemptIsTold(t *testing.T) {
	id := AttemptID{1}
	some := All(3)
	some.Remove(1)
	passed := []Message{{
		From: 1,
		Life: 2,
		Vote: &Vote{
			ID:   id,
			Yes:  All(3),
			Full: All(3),
		},
	}}
	tests := []struct {
		name string
		vote Vote
		want []Message
	}{
		{
			name: "peer lacks a yes and a confirmation",
			vote: Vote{
				ID:   id,
				Yes:  some,
				Full: some,
			},
			want: passed,
		},
		{
			name: "peer lacks a yes",
			vote: Vote{
				ID:   id,
				Yes:  some,
				Full: All(3),
			},
			want: passed,
		},
		{
			name: "peer has passed it too",
			vote: Vote{
				ID:   id,
				Yes:  All(3),
				Full: All(3),
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, err := NewMember(1, 3, 2)
			if err != nil {
				t.Fatal(err)
			}
			m.fire(triggerResolve)
			m.state = State{
				Known: true,
				Epoch: 1,
				ID:    id,
			}
			m.Handle(Message{
				From: foxtailstack.Rank(0),
				To:   1,
				Life: 1,
				Vote: &test.vote,
			})
			if diff := cmp.Diff(test.want, m.Take()); diff != "" {
				t.Errorf("answers differ (-want +got):\n%s", diff)
			}
		})
	}
}
