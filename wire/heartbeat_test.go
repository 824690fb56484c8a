package wire

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A handler sends its first message after a minute of virtual time. Its heartbeats
// must keep the stream open until then; without heartbeats the stream must time out
// and report the timeout to its connection.
func TestHeartbeatsKeepStreamOpen(t *testing.T) {
	tests := []struct {
		name       string
		heartbeats bool
		want       error
	}{
		{
			name:       "alive",
			heartbeats: true,
		},
		{
			name: "dead",
			want: ErrClosed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := Pipe()
				timedOut := false
				client.receiveTimeout = clientReceiveTimeout
				client.onReceiveTimeout = func() { timedOut = true }
				if test.heartbeats {
					timer := startHeartbeats(server)
					defer timer.Stop()
				}
				go func() {
					time.Sleep(time.Minute)
					_ = server.Send(hello{Kind: "late"})
				}()
				var got hello
				err := client.Receive(&got)
				if !errors.Is(err, test.want) {
					t.Errorf("got error %v, want %v", err, test.want)
				}
				if timedOut != !test.heartbeats {
					t.Errorf("receive timeout reported: %t, want %t", timedOut, !test.heartbeats)
				}
				client.Cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// A stream whose handler sends messages at least twice in each heartbeat interval must
// carry no heartbeats.
func TestNoHeartbeatsBetweenMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := Pipe()
		defer startHeartbeats(server).Stop()
		var want bytes.Buffer
		for range 100 {
			time.Sleep(heartbeatInterval / 5)
			if err := server.Send(hello{Kind: "often"}); err != nil {
				t.Fatalf("send: %v", err)
			}
			_ = Write(&want, hello{Kind: "often"})
		}
		got := make([]byte, 2*want.Len())
		n, err := client.stream.Read(got)
		if err != nil {
			t.Fatalf("read: %v", err)
		}
		if !bytes.Equal(got[:n], want.Bytes()) {
			t.Errorf("read %d bytes, want %d bytes of messages without heartbeats", n, want.Len())
		}
	})
}
