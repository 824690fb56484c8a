package upstream

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/zeebo/xxh3"
)

// chunkSize is the size of the largest piece of an answer in bytes.
const chunkSize = 16 << 10

// Events of the sidecar.
const (
	EventRun      timeline.Kind = "attempt-run"
	EventEnd      timeline.Kind = "attempt-end"
	EventRefuse   timeline.Kind = "attempt-refuse"
	EventFail     timeline.Kind = "attempt-fail"
	EventMismatch timeline.Kind = "engine-mismatch"
	EventDrain    timeline.Kind = "upstream-drain"
)

// Server serves the attempts on one upstream.
type Server struct {
	// Upstream is the name of the upstream's resource.
	Upstream    string
	Incarnation foxtailstack.Incarnation
	Engine      foxtailstack.Engine
	Gate        *Gate
	Ledger      *booking.Ledger
	Flusher     *booking.Flusher
	Ring        *timeline.Ring

	recent Recent
	door   door
}

// ServeAttempt is the handler of StreamAttempt.
func (s *Server) ServeAttempt(ctx context.Context, stream *wire.Stream) {
	var frame Frame
	err := stream.Receive(&frame)
	if err != nil || frame.Open == nil {
		stream.Cancel()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, frame.Open.Left)
	defer cancel()
	a := attempt{
		server: s,
		stream: stream,
		id:     frame.Attempt,
		open:   frame.Open,
	}
	a.serve(ctx, cancel)
}

// attempt is one attempt on the upstream.
type attempt struct {
	server *Server
	stream *wire.Stream
	id     foxtailstack.AttemptID
	open   *Open
	run    *Run
	booked booked
}

// serve admits and runs the attempt.
func (a *attempt) serve(ctx context.Context, cancel context.CancelFunc) {
	if a.open.Upstream != a.server.Upstream {
		a.refuse(ReasonUpstream)
		return
	}
	if a.open.Left <= 0 {
		a.refuse(ReasonExpired)
		return
	}
	if a.server.door.closed.Load() {
		a.refuse(ReasonDraining)
		return
	}
	err := a.server.Gate.Enter(ctx, Ticket{
		Team:     a.open.Team,
		Priority: a.open.Priority,
		Left:     a.open.Left,
	})
	if err != nil {
		a.refuseWith(gateRefusal(err))
		return
	}
	a.booked.leave = sync.OnceFunc(a.server.Gate.Leave)
	defer a.booked.leave()
	if a.open.Reserve {
		if !a.reserve() {
			return
		}
		// A non-idempotent attempt that has started is finished in any case.
		ctx = context.WithoutCancel(ctx)
	} else {
		a.stream.Watch(cancel) // the entry sends nothing more
	}
	a.execute(ctx)
}

// execute runs the attempt on the engine and sends the answer.
func (a *attempt) execute(ctx context.Context) {
	a.record(EventRun, "")
	a.server.recent.Note(PrefixOf(a.open.Body))
	call := foxtailstack.EngineCall{
		Attempt:     a.id,
		Team:        a.open.Team,
		Path:        a.open.Path,
		ContentType: a.open.ContentType,
		Body:        a.open.Body,
		Priority:    a.open.Priority,
		Stream:      a.open.Stream,
		Resume:      a.open.Resume,
	}
	if a.run != nil {
		call.Fencing = a.run.Number
		call.Booking = a.run.Key.String()
	}
	answer, err := a.server.Engine.Run(ctx, call)
	if err == nil {
		err = a.copy(answer)
	}
	a.finish(err)
	switch {
	case err == nil:
		a.record(EventEnd, "")
	case errors.Is(err, foxtailstack.ErrEngineRefused):
		a.refuse(ReasonDown)
	case errors.Is(err, foxtailstack.ErrEngineMismatch):
		a.record(EventMismatch, err.Error())
		a.fail(ReasonMismatch)
	default:
		a.fail(ReasonFailed)
	}
}

// copy sends the answer of the engine on.
func (a *attempt) copy(answer foxtailstack.EngineAnswer) error {
	defer answer.Body.Close()
	a.booked.answer.Status = answer.Status
	a.booked.answer.ContentType = answer.ContentType
	lost := a.send(Frame{Head: &Head{
		Status:      answer.Status,
		ContentType: answer.ContentType,
	}})
	sum := xxh3.New()
	length := uint64(0)
	buffer := make([]byte, chunkSize)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			_, _ = sum.Write(buffer[:n]) // never fails
			length += uint64(n)
			a.keep(buffer[:n])
			if lost == nil {
				lost = a.send(Frame{Data: buffer[:n]})
			}
			if lost != nil && a.run == nil {
				return lost
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return engineError(err)
		}
	}
	if lost != nil && a.run == nil {
		return lost
	}
	err := a.conclude()
	if err == nil && lost == nil {
		_ = a.send(Frame{End: &End{
			Length: length,
			Sum:    sum.Sum64(),
		}})
	}
	return err
}

// send sends a frame of the attempt.
func (a *attempt) send(frame Frame) error {
	frame.Attempt = a.id
	return a.stream.Send(frame)
}

// refuse ends an attempt that the engine has not seen.
func (a *attempt) refuse(reason Reason) {
	refusal := Refusal{Reason: reason}
	if reason == ReasonDraining {
		refusal.Retry = drainRetry
	}
	a.refuseWith(refusal)
}

// refuseWith ends an attempt that the engine has not seen.
func (a *attempt) refuseWith(refusal Refusal) {
	a.record(EventRefuse, string(refusal.Reason))
	_ = a.send(Frame{Refusal: &refusal})
}

// fail ends an attempt that the engine may have run.
func (a *attempt) fail(reason Reason) {
	a.record(EventFail, string(reason))
	_ = a.send(Frame{Failure: &Failure{Reason: reason}})
}

// record records an event of the attempt.
func (a *attempt) record(kind timeline.Kind, text string) {
	a.server.Ring.Record(timeline.Event{
		Kind:     kind,
		Attempt:  a.id.String(),
		Upstream: a.server.Upstream,
		Text:     text,
	})
}

// record records an event of the upstream.
func (s *Server) record(kind timeline.Kind, text string) {
	s.Ring.Record(timeline.Event{
		Kind:     kind,
		Upstream: s.Upstream,
		Text:     text,
	})
}
