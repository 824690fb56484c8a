package booking

import (
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// BenchmarkLedger takes one attempt from its reservation to its record.
func BenchmarkLedger(b *testing.B) {
	var ledger Ledger
	b.ReportAllocs()
	for b.Loop() {
		attempt := foxtailstack.NewAttemptID()
		_ = ledger.Reserve(attempt, time.Minute)
		_ = ledger.Start(attempt)
		_ = ledger.Finish(attempt)
		if ledger.Record(attempt) != nil {
			b.Fatal("attempt was not recorded")
		}
	}
}
