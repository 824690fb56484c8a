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

// StreamCrash is the kind of the streams on which entries report crashes to each
// other.
const StreamCrash wire.Kind = "entry-crash"

const (
	// crashBatchDelay is the time for which crashes are collected into one
	// report.
	crashBatchDelay = 5 * time.Millisecond
	// reportTimeout is the timeout for sending one report to all other entries.
	reportTimeout = 250 * time.Millisecond
	// maxConcurrentReports is the number of entries to which a report is sent
	// at a time.
	maxConcurrentReports = 64
	// maxReportedCrashes is the maximum number of crashes in one report.
	maxReportedCrashes = 256
)

var crashesTotal = metrics.NewCounter("foxtailstack_entry_crashes_total")

// EventCrash is recorded when an upstream crashes while it runs an attempt.
const EventCrash timeline.Kind = "entry-crash"

// Crash is a crash of an upstream while it ran an attempt.
type Crash struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint               `cbor:"1,keyasint"`
	Attempt     foxtailstack.AttemptID    `cbor:"2,keyasint"`
	Upstream    foxtailstack.UpstreamName `cbor:"3,keyasint"`
	// ConnectionLost is set if the crash is inferred from the loss of the
	// connection to the sidecar.
	ConnectionLost bool `cbor:"4,keyasint,omitempty"`
}

// CrashReport is the message that reports crashes to another entry.
type CrashReport struct {
	Crashes []Crash `cbor:"1,keyasint"`
}

// crashAck acknowledges a CrashReport.
type crashAck struct{}

// recordCrash counts a crash in this entry and reports it to the other entries. It
// returns once they have answered, or after the report has timed out or ctx has
// ended.
func (s *Server) recordCrash(ctx context.Context, c Crash) {
	crashesTotal.Inc()
	s.Ring.Record(timeline.Event{
		Kind:     EventCrash,
		Attempt:  c.Attempt.String(),
		Upstream: string(c.Upstream),
	})
	s.quarantine.addCrash(c)
	if s.Peers == nil {
		return
	}
	select {
	case <-s.crashReporter.add(c, s.reportCrashes):
	case <-ctx.Done():
	}
}

// reportCrashes sends a report to all other entries.
func (s *Server) reportCrashes(crashes []Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	entries := s.Peers(ctx)
	slots := make(chan struct{}, maxConcurrentReports)
	var wg sync.WaitGroup
	for _, peer := range entries {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var ack crashAck
			_ = s.Client.Call(ctx, peer, StreamCrash, CrashReport{Crashes: crashes}, &ack) // a peer that is down needs no telling
		})
	}
	wg.Wait()
}

// ServeCrash handles streams of the kind StreamCrash.
func (s *Server) ServeCrash(_ context.Context, stream *wire.Stream) {
	var message CrashReport
	err := stream.Receive(&message)
	if err != nil || len(message.Crashes) > maxReportedCrashes {
		stream.Cancel()
		return
	}
	for _, c := range message.Crashes {
		s.quarantine.addCrash(c)
	}
	_ = stream.Send(crashAck{}) // the sender may have disconnected
}

// crashReporter batches crashes that happen at nearly the same time into one
// report. The zero value is ready for use.
type crashReporter struct {
	mu      sync.Mutex
	pending []Crash
	sent    chan struct{}
}

// add puts a crash into the next report and returns a channel that is closed once
// send has returned. A crash beyond maxReportedCrashes is not reported.
func (t *crashReporter) add(c Crash, send func([]Crash)) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.sent = make(chan struct{})
		time.AfterFunc(crashBatchDelay, func() { t.flush(send) })
	}
	if len(t.pending) < maxReportedCrashes {
		t.pending = append(t.pending, c)
	}
	return t.sent
}

// flush sends the collected crashes.
func (t *crashReporter) flush(send func([]Crash)) {
	t.mu.Lock()
	crashes, done := t.pending, t.sent
	t.pending, t.sent = nil, nil
	t.mu.Unlock()
	send(crashes)
	close(done)
}
