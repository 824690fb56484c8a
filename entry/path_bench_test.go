package entry_test

import (
	"strings"
	"testing"

	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/platform/standin"
)

// BenchmarkPath measures calls through an entry and a sidecar to an engine. All of
// them, and the caller, run in this process.
func BenchmarkPath(b *testing.B) {
	for _, bench := range []struct {
		name   string
		tokens int
		stream bool
	}{
		{
			name:   "json",
			tokens: 0,
			stream: false,
		},
		{
			name:   "stream",
			tokens: 10,
			stream: true,
		},
	} {
		b.Run(bench.name, func(b *testing.B) {
			s := newSystem(b, fleet.Policy{Idempotent: true}, 100)
			prompt := standin.Prompt{
				Text:   strings.Repeat("x", 1000),
				Tokens: bench.tokens,
			}
			b.ReportAllocs()
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					got := s.send(b.Context(), prompt, bench.stream)
					if got.outcome != "ran" {
						b.Errorf("send: got %+v, expected outcome ran", got)
						return
					}
				}
			})
		})
	}
}
