package measure

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestSpreadRuns(t *testing.T) {
	var policies []string
	options := Options{
		Seed: 1,
		Report: func(line Line) error {
			policies = append(policies, text(line[0].Value)+" "+text(line[1].Value))
			return nil
		},
	}
	err := spread(t.Context(), options, spreadPlan{
		sizes:   []int{12},
		changes: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"poll 12", "relay 12"}, policies); diff != "" {
		t.Errorf("lines differ (-want +got):\n%s", diff)
	}
}
