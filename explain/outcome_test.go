package explain

import (
	"strings"
	"testing"
)

func TestOutcome(t *testing.T) {
	for name, test := range map[string]struct {
		log  string
		want string
	}{
		"left in the queue": {
			log:  "msg=request request=r reason=caller-left waited=1.6 first=0 gap=0 took=2.0",
			want: "The caller left when nothing had come for 2s: it waited 1.6s for an upstream and 400ms at the last one.",
		},
		"left a stream that stopped": {
			log:  "msg=request request=r reason=caller-left waited=0 first=0.2 gap=2.01 took=4.0",
			want: "The caller left when no event had come for 2.01s.",
		},
		"left at its deadline": {
			log:  "msg=request request=r reason=caller-left events=64 waited=0.277 first=0.7 gap=0.185 took=3.923 given=3.92",
			want: "The caller left when its time of 3.92s was over: it waited 277ms for an upstream, and 64 events had come.",
		},
		"left early": {
			log:  "msg=request request=r reason=caller-left waited=0 first=0 gap=0 took=0.074",
			want: "The caller left after 74ms, before anything was late enough to leave for.",
		},
		"left early, in the queue": {
			log:  "msg=request request=r reason=caller-left waited=0.953 first=0 gap=0 took=1.011",
			want: "The caller left after 1.011s, of which the request waited 953ms for an upstream.",
		},
		"group without a rank": {
			log: "msg=\"attempt refused\" request=r culprit=10.0.0.1:1\n" +
				"ts=2026-03-02T13:22:52.892Z msg=request request=r reason=upstreams-refused",
			want: "A rank of the group did not work; the refusal names 10.0.0.1:1.\n" + reasonTexts["upstreams-refused"],
		},
		"left while it waited to go on": {
			log: "msg=\"request moved\" request=r upstream=u1 to= event=6 waited=2.67\n" +
				"ts=2026-03-02T13:22:52.892Z msg=request request=r reason=caller-left events=6 waited=2.67 first=0.19 gap=4.007 took=4.583",
			want: "After event 6 from u1 it waited 2.67s and went to no other upstream.\n" +
				"The caller left when no event had come for 4.007s.",
		},
		"no end": {
			log:  "msg=\"attempt failed\" request=r",
			want: "The log has no end of the request: the process ended, or lines were dropped.",
		},
	} {
		t.Run(name, func(t *testing.T) {
			lines, err := Read(strings.NewReader("ts=2026-03-02T13:22:52.891Z " + test.log + "\n"))
			if err != nil {
				t.Fatal(err)
			}
			if got := outcome(lines); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
