package measure

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestExpertGolden(t *testing.T) {
	var lines []string
	err := runExpert(t.Context(), Options{
		Seed: 1,
		Report: func(line Line) error {
			lines = append(lines, line.String())
			return nil
		},
	}, expertSize{
		ranks:  []int{8},
		layers: 2,
		length: 12 * time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join(lines, "\n") + "\n"
	const golden = "testdata/expert.golden"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		err = os.WriteFile(golden, []byte(got), 0o644)
		if err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}
