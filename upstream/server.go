package upstream

import (
	"context"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
)

// Time-line events of the sidecar.
const (
	EventRun      timeline.Kind = "attempt-run"
	EventEnd      timeline.Kind = "attempt-end"
	EventRefuse   timeline.Kind = "attempt-refuse"
	EventFail     timeline.Kind = "attempt-fail"
	EventMismatch timeline.Kind = "engine-mismatch"
	EventDrain    timeline.Kind = "upstream-drain"
	EventDown     timeline.Kind = "engine-down"
	EventUp       timeline.Kind = "engine-up"
)

// Server serves the attempts and load probes of one upstream. All exported fields must be
// set to serve attempts; load probes need only Upstream and Admission.
type Server struct {
	// Upstream is the name of the upstream's resource.
	Upstream string
	// Incarnation identifies this run of the sidecar.
	Incarnation foxtailstack.Incarnation
	Engine      foxtailstack.Engine
	Admission   *AdmissionController
	Ledger      *booking.Ledger
	Flusher     *booking.Flusher
	// Ring is the time line of the process.
	Ring *timeline.Ring

	configDrain drainState
	health      health
	suspectSlot suspectSlot
	prefixes    RecentPrefixes
}

// ServeAttempt is the handler of StreamAttempt.
func (s *Server) ServeAttempt(ctx context.Context, stream *wire.Stream) {
	var frame Frame
	err := stream.Receive(&frame)
	if err != nil || frame.Open == nil {
		stream.Cancel()
		return
	}
	if frame.Timestamp != nil {
		s.Ring.Observe(*frame.Timestamp)
	}
	ctx, cancel := context.WithTimeout(ctx, frame.Open.Timeout)
	defer cancel()
	a := attempt{
		server: s,
		stream: stream,
		id:     frame.Attempt,
		open:   frame.Open,
	}
	a.serve(ctx, cancel)
}

// recordEvent adds an event of the upstream to the time line.
func (s *Server) recordEvent(kind timeline.Kind, text string) {
	s.Ring.Record(timeline.Event{
		Kind:     kind,
		Upstream: s.Upstream,
		Text:     text,
	})
}
