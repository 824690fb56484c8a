package measure

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The same seed gives the same results, and the policy of the system beats the
// simple ones at high load.
func TestRoute(t *testing.T) {
	const length = 60 * time.Second
	p99 := map[string]time.Duration{}
	for _, policy := range []string{"roundrobin", "leastreported", "random2", "ours", "oracle"} {
		line := runRoute(1, policy, 80, length)
		if diff := cmp.Diff(line.String(), runRoute(1, policy, 80, length).String()); diff != "" {
			t.Error(diff)
		}
		for _, field := range line {
			if d, ok := field.Value.(time.Duration); ok && field.Key == "p99" {
				p99[policy] = d
			}
		}
		if !strings.HasPrefix(line.String(), "policy="+policy+" load=80 p50=") {
			t.Errorf("line %q", line)
		}
	}
	for _, policy := range []string{"roundrobin", "leastreported", "random2"} {
		if p99["ours"] >= p99[policy] {
			t.Errorf("p99 of ours %v, of %s %v", p99["ours"], policy, p99[policy])
		}
	}
}
