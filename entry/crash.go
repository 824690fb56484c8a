package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
)

// StreamCrash is the kind of the streams on which entries tell each other of
// crashes.
const StreamCrash wire.Kind = "entry-crash"

const (
	// gatherTime is how long crashes are gathered into one message.
	gatherTime = 5 * time.Millisecond
	// tellTimeout bounds the telling of one message.
	tellTimeout = 250 * time.Millisecond
	// maxTellers bounds the peers told at once.
	maxTellers = 64
	// maxTold bounds the crashes in one message.
	maxTold = 256
)

var crashesTotal = metrics.NewCounter("foxtailstack_entry_crashes_total")

// EventCrash is the event of a request that ran when its upstream crashed.
const EventCrash timeline.Kind = "entry-crash"

// Crash is a crash of an upstream while it ran an attempt.
type Crash struct {
	Fingerprint Fingerprint               `cbor:"1,keyasint"`
	Attempt     foxtailstack.AttemptID    `cbor:"2,keyasint"`
	Upstream    foxtailstack.UpstreamName `cbor:"3,keyasint"`
	// ConnectionLost is set if only the connection to the sidecar was lost.
	ConnectionLost bool `cbor:"4,keyasint,omitempty"`
}

// CrashReport is the message that tells of crashes.
type CrashReport struct {
	Crashes []Crash `cbor:"1,keyasint"`
}

// told acknowledges Crashes.
type told struct{}

// crashed counts a crash here and tells the other entries. It returns once they
// know or have had the time to.
func (s *Server) crashed(ctx context.Context, c Crash) {
	crashesTotal.Inc()
	s.Ring.Record(timeline.Event{
		Kind:     EventCrash,
		Attempt:  c.Attempt.String(),
		Upstream: string(c.Upstream),
	})
	s.quarantine.crash(c)
	if s.Peers == nil {
		return
	}
	select {
	case <-s.teller.add(c, s.tellAll):
	case <-ctx.Done():
	}
}

// tellAll tells all peers of crashes.
func (s *Server) tellAll(list []Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	peers := s.Peers(ctx)
	slots := make(chan struct{}, maxTellers)
	var wg sync.WaitGroup
	for _, peer := range peers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var ack told
			_ = s.Client.Call(ctx, peer, StreamCrash, CrashReport{Crashes: list}, &ack) // a peer that is down needs no telling
		})
	}
	wg.Wait()
}

// ServeCrash is the handler of StreamCrash.
func (s *Server) ServeCrash(_ context.Context, stream *wire.Stream) {
	var message CrashReport
	err := stream.Receive(&message)
	if err != nil || len(message.Crashes) > maxTold {
		stream.Cancel()
		return
	}
	for _, c := range message.Crashes {
		s.quarantine.crash(c)
	}
	_ = stream.Send(told{}) // the other end may be gone
}

// teller gathers crashes that happen together into one message. The zero value
// is ready for use.
type teller struct {
	mu      sync.Mutex
	pending []Crash
	done    chan struct{}
}

// add puts a crash into the next message and returns a channel that is closed
// once tell has returned. A crash beyond the bound of a message is not told.
func (t *teller) add(c Crash, tell func([]Crash)) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done == nil {
		t.done = make(chan struct{})
		time.AfterFunc(gatherTime, func() { t.flush(tell) })
	}
	if len(t.pending) < maxTold {
		t.pending = append(t.pending, c)
	}
	return t.done
}

// flush tells the crashes gathered.
func (t *teller) flush(tell func([]Crash)) {
	t.mu.Lock()
	list, done := t.pending, t.done
	t.pending, t.done = nil, nil
	t.mu.Unlock()
	tell(list)
	close(done)
}
