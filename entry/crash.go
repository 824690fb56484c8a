package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/quarantine"
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

// EventCrash is recorded when an upstream may have crashed while it ran an attempt.
// The loss of the connection to the sidecar counts as a possible crash.
const EventCrash timeline.Kind = "entry-crash"

// Crash is a crash, or a possible one, of an upstream while it ran an attempt.
type Crash struct {
	// Fingerprint identifies the request.
	Fingerprint quarantine.Fingerprint    `cbor:"1,keyasint"`
	Attempt     foxtailstack.AttemptID    `cbor:"2,keyasint"`
	Upstream    foxtailstack.UpstreamName `cbor:"3,keyasint"`
	// ConnectionLost is set if the crash is inferred from the loss of the
	// connection to the sidecar.
	ConnectionLost bool `cbor:"4,keyasint,omitempty"`
}

// record returns the crash in the form that the quarantine records.
func (c Crash) record() quarantine.Crash {
	return quarantine.Crash{
		Fingerprint: c.Fingerprint,
		ID:          quarantine.CrashID(c.Attempt.String()),
		Upstream:    c.Upstream,
		Inferred:    c.ConnectionLost,
	}
}

// CrashReport is the message that reports crashes to another entry.
type CrashReport struct {
	Crashes []Crash `cbor:"1,keyasint"`
}

// crashAck acknowledges a CrashReport.
type crashAck struct{}

// recordCrash counts a crash in this entry and reports it to the other entries. It
// returns once they have answered, or after the report has timed out or ctx has
// ended. The entries that answer thus know of the crash before the request is
// attempted again.
func (s *Server) recordCrash(ctx context.Context, c Crash) {
	crashesTotal.Inc()
	s.Ring.Record(timeline.Event{
		Kind:     EventCrash,
		Attempt:  c.Attempt.String(),
		Upstream: string(c.Upstream),
	})
	s.quarantine.Add(c.record())
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
	peers := s.Peers(ctx)
	slots := make(chan struct{}, maxConcurrentReports)
	var wg sync.WaitGroup
	for _, peer := range peers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var ack crashAck
			// An entry that is down need not learn of crashes. A slow one misses the
			// report.
			_ = s.Client.Call(ctx, peer, StreamCrash, CrashReport{Crashes: crashes}, &ack)
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
		s.quarantine.Add(c.record())
	}
	_ = stream.Send(crashAck{}) // the sender may have disconnected
}

// crashReporter batches crashes that happen at nearly the same time into one
// report. The zero value is ready for use.
type crashReporter struct {
	mu sync.Mutex
	// pending holds the crashes of the next report.
	pending []Crash
	// sent is closed once the report of pending has been sent. It is nil if none
	// is pending.
	sent chan struct{}
}

// add puts a crash into the next report and returns a channel that is closed once
// send has returned. A crash beyond maxReportedCrashes is not reported.
func (r *crashReporter) add(c Crash, send func([]Crash)) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == nil {
		r.sent = make(chan struct{})
		time.AfterFunc(crashBatchDelay, func() { r.flush(send) })
	}
	if len(r.pending) < maxReportedCrashes {
		r.pending = append(r.pending, c)
	}
	return r.sent
}

// flush sends the collected crashes.
func (r *crashReporter) flush(send func([]Crash)) {
	r.mu.Lock()
	crashes, done := r.pending, r.sent
	r.pending, r.sent = nil, nil
	r.mu.Unlock()
	send(crashes)
	close(done)
}
