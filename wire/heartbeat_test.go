package wire

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A handler that is silent for long, in virtual time: its heartbeats keep the
// stream open, and without them the stream ends.
func TestHeartbeatsKeepStreamOpen(t *testing.T) {
	tests := []struct {
		name  string
		beats bool
		want  error
	}{
		{
			name:  "alive",
			beats: true,
		},
		{
			name: "dead",
			want: ErrClosed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := Pipe()
				abandoned := false
				near.silence = maxSilence
				near.silent = func() { abandoned = true }
				if test.beats {
					timer := startHeartbeats(far)
					defer timer.Stop()
				}
				go func() {
					time.Sleep(time.Minute)
					_ = far.Send(hello{Kind: "late"})
				}()
				var got hello
				err := near.Receive(&got)
				if !errors.Is(err, test.want) {
					t.Errorf("got error %v, want %v", err, test.want)
				}
				if abandoned != !test.beats {
					t.Errorf("connection abandoned: %t, want %t", abandoned, !test.beats)
				}
				near.Cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// A stream whose handler sends often carries no heartbeats.
func TestNoHeartbeatsBetweenMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := Pipe()
		defer startHeartbeats(far).Stop()
		var want bytes.Buffer
		for range 100 {
			time.Sleep(heartbeatInterval / 5)
			if err := far.Send(hello{Kind: "often"}); err != nil {
				t.Fatal(err)
			}
			_ = Write(&want, hello{Kind: "often"})
		}
		got := make([]byte, 2*want.Len())
		n, err := near.quic.Read(got)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got[:n], want.Bytes()) {
			t.Errorf("got %d bytes, want %d", n, want.Len())
		}
	})
}
