package machine

import (
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack/platform"
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

// Guards against feeds that stay silent for longer than the contact time, and against
// pauses in which an upstream that leaves is still used at its end. Small and large
// fleets have different times.
func TestFleetFeedFollowsBounds(t *testing.T) {
	for _, bounds := range []platform.Bounds{
		{
			ContactTime: 3 * time.Second,
			DrainTime:   2 * time.Second,
		},
		{
			ContactTime: 5 * time.Second,
			DrainTime:   4 * time.Second,
		},
	} {
		if got := fleetPollTimeout(bounds); got >= bounds.ContactTime {
			t.Errorf("got a poll timeout of %s for a contact time of %s, want less", got, bounds.ContactTime)
		}
		if got := fleetChangePause(bounds, maxFleetPauseFraction); got <= 0 || got > bounds.DrainTime/4 {
			t.Errorf("got a pause of %s for a drain time of %s, want some and at most a quarter", got, bounds.DrainTime)
		}
	}
	if got := fleetPollTimeout(platform.Bounds{}); got != defaultFleetPollTimeout {
		t.Errorf("got a poll timeout of %s without a contact time, want %s", got, defaultFleetPollTimeout)
	}
}
