package expert

import (
	"errors"
	"math"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestCollect(t *testing.T) {
	for _, size := range []int{1, 3, 8, 128} {
		root := PreferredPlanner("g", AllRanks(size))
		collectors := make([]*Collector, size)
		for r := range collectors {
			collectors[r] = NewCollector(foxtailstack.Rank(r), size)
		}
		want := [][]float64{{0, 0}, {0, 0}}
		var got [][]float64
		for position := size - 1; position >= 0; position-- {
			r := (int(root) + position) % size
			tokens := [][]float64{{float64(r), 1}, {1000, float64(r * r)}}
			for l := range want {
				for e := range want[l] {
					want[l][e] += tokens[l][e]
				}
			}
			parent, sums, ranks := collectors[r].Flush(root, tokens)
			if parent == foxtailstack.Rank(r) {
				got = sums
				if diff := cmp.Diff(AllRanks(size), ranks); diff != "" {
					t.Errorf("%d ranks: ranks included at the root (-want +got):\n%s", size, diff)
				}
				continue
			}
			err := collectors[parent].Receive(foxtailstack.Rank(r), NewLoadReport(root, sums, ranks))
			if err != nil {
				t.Fatalf("report of rank %d to rank %d: %v", r, parent, err)
			}
		}
		if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0.002, 0.01)); diff != "" {
			t.Errorf("%d ranks: loads at the root (-want +got):\n%s", size, diff)
		}
	}
}

func TestReport(t *testing.T) {
	sums := make([][]float64, 60)
	for l := range sums {
		sums[l] = make([]float64, 64)
		for e := range sums[l] {
			sums[l][e] = math.Exp2(float64(e))
		}
	}
	report := NewLoadReport(0, sums, AllRanks(128))
	data, err := wire.Marshal(report)
	if err != nil || len(data) > 8000 {
		t.Errorf("report is %d bytes long (limit 8000), error %v", len(data), err)
	}
	report.Codes = report.Codes[1:]
	err = NewCollector(0, 2).Receive(1, report)
	if !errors.Is(err, ErrLoad) {
		t.Errorf("malformed report: error %v, want ErrLoad", err)
	}
}

// TestMessageSize checks the size of the votes message, of which each rank of a
// group of 128 sends two at each tick of a switch. Larger messages would exceed
// the bandwidth that a node may use for a switch.
func TestMessageSize(t *testing.T) {
	votes := Votes{
		ID: AttemptID{1},
		Ballot: Ballot{
			Epoch: 1e6,
			Try:   3,
		},
		Yes:       AllRanks(128),
		Confirmed: AllRanks(128),
	}
	size := func(v Votes) int {
		data, err := wire.Marshal(Message{
			From:       127,
			To:         126,
			Generation: 1 << 60,
			Votes:      &v,
		})
		if err != nil {
			t.Fatalf("encode votes message: %v", err)
		}
		return len(data)
	}
	plain := size(votes)
	a := Attempt{FirstStep: 1e9}
	for range 128 {
		a.Generations = append(a.Generations, 1<<60)
	}
	votes.Attempt = &a
	t.Logf("votes message of %d bytes, %d with the attempt", plain, size(votes))
	if plain > 140 || size(votes) > 1400 {
		t.Errorf("votes message of %d bytes (limit 140), %d with the attempt (limit 1400)", plain, size(votes))
	}
}
