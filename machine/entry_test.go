package machine

import (
	"testing"
	"time"
)

// The long-poll timeout of the configuration is a third of a short key revocation time
// and never more than maxConfigPollTimeout. The configuration is thereby confirmed often
// enough for a removed key to stop working in time.
func TestConfigPollTimeout(t *testing.T) {
	tests := []struct {
		revocation, want time.Duration
	}{
		{
			want: maxConfigPollTimeout,
		},
		{
			revocation: 5 * time.Second,
			want:       maxConfigPollTimeout,
		},
		{
			revocation: 1500 * time.Millisecond,
			want:       500 * time.Millisecond,
		},
	}
	for _, test := range tests {
		if got := configPollTimeout(test.revocation); got != test.want {
			t.Errorf("got a poll timeout of %v for a revocation time of %v, want %v", got, test.revocation, test.want)
		}
	}
}
