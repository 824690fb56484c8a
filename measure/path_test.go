package measure

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The measurement checks each answer; here it runs for a short time, and its
// times are not looked at.
func TestPath(t *testing.T) {
	var got []string
	options := Options{Report: func(line Line) error {
		got = append(got, fmt.Sprint(line[0].Value, line[1].Value))
		return nil
	}}
	err := path(t.Context(), options, []int{1, 20}, 20*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"json1", "json20", "stream1", "stream20"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}
