package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
)

// attempt is one attempt on the upstream.
type attempt struct {
	server *Server
	stream *wire.Stream
	id     foxtailstack.AttemptID
	open   *Open
	// run is set once a non-idempotent attempt may start.
	run    *Run
	booked booked
}

// serve admits and runs the attempt.
func (a *attempt) serve(ctx context.Context, cancel context.CancelFunc) {
	if reason := a.unfit(); reason != "" {
		a.refuse(reason)
		return
	}
	if !a.open.Reserve {
		a.stream.OnPeerClose(cancel) // the entry sends nothing more
	}
	if a.open.Suspect {
		if a.server.lane.enter(ctx) != nil {
			a.refuse(ReasonExpired)
			return
		}
		defer a.server.lane.leave()
	}
	err := a.server.Admission.Acquire(ctx, AdmissionRequest{
		Team:     a.open.Team,
		Priority: a.open.Priority,
		Timeout:  a.open.Timeout,
	})
	if err != nil {
		a.refuseWith(gateRefusal(err))
		return
	}
	a.booked.leave = sync.OnceFunc(a.server.Admission.Release)
	defer a.booked.leave()
	if reason := a.unfit(); reason != "" {
		a.refuse(reason) // it waited
		return
	}
	if ctx.Err() != nil {
		a.refuse(ReasonExpired)
		return
	}
	if a.open.Reserve {
		if !a.reserve() {
			return
		}
		// A non-idempotent attempt that has started is finished in any case.
		ctx = context.WithoutCancel(ctx)
	}
	a.execute(ctx)
}

// unfit returns why the attempt can't run now, or nothing.
func (a *attempt) unfit() Reason {
	switch {
	case a.open.Upstream != a.server.Upstream:
		return ReasonWrongUpstream
	case a.open.Timeout <= 0:
		return ReasonExpired
	case a.server.door.closed.Load():
		return ReasonDraining
	case a.server.health.down.Load():
		return ReasonDown
	}
	return ""
}

// execute runs the attempt on the engine and sends the answer.
func (a *attempt) execute(ctx context.Context) {
	a.record(EventRun, "")
	a.server.recent.Add(PrefixOf(a.open.Body))
	call := foxtailstack.EngineCall{
		Attempt:        a.id,
		Team:           a.open.Team,
		Path:           a.open.Path,
		ContentType:    a.open.ContentType,
		Body:           a.open.Body,
		Priority:       a.open.Priority,
		Stream:         a.open.Stream,
		ReceivedEvents: a.open.ReceivedEvents,
	}
	if a.run != nil {
		call.Fencing = a.run.FencingToken
		call.Booking = a.run.Key.String()
	}
	copied := transfer{attempt: a}
	answer, err := a.server.Engine.Run(ctx, call)
	if err == nil {
		err = copied.run(answer)
	}
	a.finish(err)
	if err == nil {
		a.record(EventEnd, "")
		return
	}
	a.end(ctx, err, copied.begun)
}

// end ends an attempt that got no whole answer from the engine.
func (a *attempt) end(ctx context.Context, err error, begun bool) {
	switch {
	case errors.Is(err, foxtailstack.ErrEngineMismatch):
		a.record(EventMismatch, err.Error())
		a.fail(ReasonMismatch)
	case errors.Is(err, foxtailstack.ErrEngineRefused):
		a.server.suspectDown(ctx)
		a.refuse(ReasonDown)
	case ctx.Err() != nil:
		a.fail(ReasonExpired)
	case errors.Is(err, foxtailstack.ErrEngineLost):
		down := a.server.suspectDown(ctx)
		if down || !begun {
			a.fail(ReasonCrashed)
		} else {
			a.fail(ReasonFailed)
		}
	default:
		a.fail(ReasonFailed)
	}
}

// send sends a frame of the attempt.
func (a *attempt) send(frame Frame) error {
	frame.Attempt = a.id
	if frame.Data == nil || frame.End != nil {
		now := a.server.Ring.Now()
		frame.Timestamp = &now
	}
	return a.stream.Send(frame)
}

// refuse ends an attempt that the engine has not seen.
func (a *attempt) refuse(reason Reason) {
	refusal := Refusal{Reason: reason}
	switch reason {
	case ReasonDraining, ReasonDown:
		refusal.RetryAfter = downRetry
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

// downRetry is when a caller may come back who was refused by an upstream that
// leaves or whose engine is down.
const downRetry = time.Second
