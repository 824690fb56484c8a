package wire_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
)

// A process closes its connections when it stops. Drain must delay this until the
// peers have received all messages that the handlers have sent, even if a peer starts
// to read only after its handler has returned.
func TestMuxDrainDeliversLastMessages(t *testing.T) {
	const kind wire.Kind = "test"
	const messages = 8
	config, err := keys.NewLoopback()
	if err != nil {
		t.Fatalf("create the TLS configuration: %v", err)
	}
	var mux wire.Mux
	handlerReturned := make(chan struct{})
	mux.Handle(kind, func(_ context.Context, s *wire.Stream) {
		for i := range messages {
			_ = s.Send(bytes.Repeat([]byte{byte(i)}, 16<<10))
		}
		close(handlerReturned)
	})
	addr, err := mux.Listen("127.0.0.1:0", config.Peer)
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- mux.Serve(ctx) }()
	client := wire.NewClient(config.Peer)
	defer client.Close()
	s, err := client.Open(t.Context(), foxtailstack.Address(addr.String()), kind)
	if err != nil {
		t.Fatalf("open stream: %v", err)
	}
	<-handlerReturned
	go func() {
		_ = mux.Drain(t.Context(), kind)
		cancel()
	}()
	time.Sleep(50 * time.Millisecond) // start to read after the process began to stop
	got := 0
	for got < messages {
		var message []byte
		err = s.Receive(&message)
		if err != nil {
			t.Errorf("receive message %d: %v", got, err)
			break
		}
		got++
	}
	s.Cancel()
	if diff := cmp.Diff(messages, got); diff != "" {
		t.Errorf("messages received (-want +got):\n%s", diff)
	}
	err = <-served
	if err != nil {
		t.Errorf("Serve returned error %v, want nil", err)
	}
}
