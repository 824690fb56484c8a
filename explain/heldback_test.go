package explain

import (
	"strings"
	"testing"
)

// Guards against a request of which the log tells that it waited, but not for whom.
func TestOutcomeNamesRoom(t *testing.T) {
	lines := []Line{
		{
			Message: messageHeldBack,
			fields: []field{
				{
					key:   "waited",
					value: "0.25",
				},
				{
					key:   "cause",
					value: "reserve",
				},
				{
					key:   "free",
					value: "40",
				},
				{
					key:   "reserved",
					value: "1.5",
				},
			},
		},
		{
			Message: "request",
			fields: []field{{
				key:   "reason",
				value: "served",
			}},
		},
	}
	got := outcome(lines)
	if !strings.Contains(got, "waited 250ms at the entry beside 40 free slots, because they were kept for more urgent requests: 1.5 slots") {
		t.Errorf("the outcome does not tell why the request waited: %s", got)
	}
}
