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

// attempt is the state of one attempt that an entry has opened on this upstream.
type attempt struct {
	server *Server
	stream *wire.Stream
	id     foxtailstack.AttemptID
	open   *Open
	// run is the message that starts a non-idempotent attempt. It is nil before that
	// message has been received, and always for idempotent attempts.
	run   *Run
	claim claimState
}

// serve admits the attempt and runs it on the engine. cancel cancels ctx.
func (a *attempt) serve(ctx context.Context, cancel context.CancelFunc) {
	if reason := a.refusalReason(); reason != "" {
		a.refuse(reason)
		return
	}
	if !a.open.Reserve {
		a.stream.OnPeerClose(cancel) // after Open the entry sends nothing more
	}
	if a.open.Suspect {
		if a.server.suspectSlot.acquire(ctx) != nil {
			a.refuse(ReasonExpired)
			return
		}
		defer a.server.suspectSlot.release()
	}
	err := a.server.Admission.Acquire(ctx, AdmissionRequest{
		Team:     a.open.Team,
		Priority: a.open.Priority,
		Timeout:  a.open.Timeout,
	})
	if err != nil {
		a.refuseWith(admissionRefusal(err))
		return
	}
	a.claim.releaseSlot = sync.OnceFunc(a.server.Admission.Release)
	defer a.claim.releaseSlot()
	if reason := a.refusalReason(); reason != "" {
		a.refuse(reason) // the upstream was drained or went down during the wait for a slot
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
		// A non-idempotent attempt that has started is completed even if the entry
		// disconnects or the deadline passes.
		ctx = context.WithoutCancel(ctx)
	}
	a.execute(ctx)
}

// refusalReason returns the reason for which the attempt must be refused at present,
// or the empty string if it may run.
func (a *attempt) refusalReason() Reason {
	switch {
	case a.open.Upstream != a.server.Upstream:
		return ReasonWrongUpstream
	case a.open.Timeout <= 0:
		return ReasonExpired
	case a.server.configDrain.active.Load():
		return ReasonDraining
	case a.server.health.down.Load():
		return ReasonDown
	}
	return ""
}

// execute runs the attempt on the engine and sends the response to the entry.
func (a *attempt) execute(ctx context.Context) {
	a.recordEvent(EventRun, "")
	a.server.prefixes.Add(PrefixOf(a.open.Body))
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
	tr := transfer{attempt: a}
	response, err := a.server.Engine.Run(ctx, call)
	if err == nil {
		err = tr.run(response)
	}
	a.flushOutcome(err)
	if err == nil {
		return
	}
	a.reportError(ctx, err, tr.engineResponded)
}

// reportError tells the entry why the engine gave no complete response. The attempt is
// refused if the engine has not seen it, and fails otherwise. engineResponded tells
// whether the engine had sent the head of its response.
func (a *attempt) reportError(ctx context.Context, err error, engineResponded bool) {
	switch {
	case errors.Is(err, foxtailstack.ErrEngineMismatch):
		a.recordEvent(EventMismatch, err.Error())
		a.fail(ReasonMismatch)
	case errors.Is(err, foxtailstack.ErrEngineRefused):
		a.server.confirmDown(ctx)
		a.refuse(ReasonDown)
	case ctx.Err() != nil:
		a.fail(ReasonExpired)
	case errors.Is(err, foxtailstack.ErrEngineLost):
		down := a.server.confirmDown(ctx)
		if down || !engineResponded {
			a.fail(ReasonCrashed)
		} else {
			a.fail(ReasonFailed)
		}
	default:
		a.fail(ReasonFailed)
	}
}

// send sends a frame of the attempt. It adds a timestamp except to frames that carry
// Data without End.
func (a *attempt) send(frame Frame) error {
	frame.Attempt = a.id
	if frame.Data == nil || frame.End != nil {
		now := a.server.Ring.Now()
		frame.Timestamp = &now
	}
	return a.stream.Send(frame)
}

// refuse ends an attempt that the engine has not seen, for the given reason.
func (a *attempt) refuse(reason Reason) {
	refusal := Refusal{Reason: reason}
	switch reason {
	case ReasonDraining, ReasonDown:
		refusal.RetryAfter = downRetryAfter
	}
	a.refuseWith(refusal)
}

// refuseWith ends an attempt that the engine has not seen, with the given refusal.
func (a *attempt) refuseWith(refusal Refusal) {
	a.recordEvent(EventRefuse, string(refusal.Reason))
	_ = a.send(Frame{Refusal: &refusal})
}

// fail ends an attempt that the engine may have run.
func (a *attempt) fail(reason Reason) {
	a.recordEvent(EventFail, string(reason))
	_ = a.send(Frame{Failure: &Failure{Reason: reason}})
}

// recordEvent adds an event of the attempt to the time line.
func (a *attempt) recordEvent(kind timeline.Kind, text string) {
	a.server.Ring.Record(timeline.Event{
		Kind:     kind,
		Attempt:  a.id.String(),
		Upstream: a.server.Upstream,
		Text:     text,
	})
}

// downRetryAfter is the retry time in refusals of an upstream that is drained by the
// configuration (see Server.SetDrain) or whose engine is down.
const downRetryAfter = time.Second
