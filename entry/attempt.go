package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/zeebo/xxh3"
)

// sink takes the answer of one attempt.
type sink interface {
	head(h upstream.Head) error
	// data takes a piece of the body, whose last event has the number last.
	data(b []byte, last uint64) error
}

// attempt is one attempt of a request on one upstream.
type attempt struct {
	id      foxtailstack.AttemptID
	request *request
	member  fleet.Member
	// resume is the number of the last event that the caller has.
	resume uint64
	// suspect tells that the request may have crashed an upstream before.
	suspect bool

	ring   *timeline.Ring
	stream *wire.Stream
	begun  bool
	sum    xxh3.Hasher
	length uint64
}

// run makes the attempt and hands the answer to out. Its error, if any, is an
// *AttemptError.
func (a *attempt) run(ctx context.Context, s *Server, out sink) error {
	deadline, _ := ctx.Deadline()
	stream, err := s.Client.Open(ctx, a.member.Address, upstream.StreamAttempt)
	if err != nil {
		return unsent(upstream.ReasonDown, 0, err)
	}
	a.stream = stream
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	defer stream.Cancel()
	now := a.ring.Now()
	err = stream.Send(upstream.Frame{
		Attempt:   a.id,
		Timestamp: &now,
		Open: &upstream.Open{
			Upstream:       a.member.ID.String(),
			Team:           a.request.team,
			Path:           a.request.service.Path,
			ContentType:    a.request.contentType,
			Body:           a.request.body,
			Priority:       a.request.priority,
			Stream:         a.request.stream,
			ReceivedEvents: a.resume,
			Timeout:        time.Until(deadline),
			Reserve:        !a.request.policy.Idempotent,
			ModelEngine:    a.request.service.Model != "",
			Suspect:        a.suspect,
		},
	})
	if err != nil && !a.request.policy.Idempotent {
		return notRun(upstream.ReasonDown, 0, err) // without Run it never starts
	}
	if err != nil {
		return a.ended(ctx, a.lost(err))
	}
	if !a.request.policy.Idempotent {
		err = a.claim(ctx, s)
		if err != nil {
			return a.ended(ctx, err)
		}
	}
	return a.ended(ctx, a.receive(out))
}

// receive hands the answer to out until its last frame.
func (a *attempt) receive(out sink) error {
	for {
		frame, err := a.next()
		if err != nil {
			return err
		}
		whole, err := a.take(frame, out)
		if err != nil || whole {
			return err
		}
	}
}

// take takes one frame of the answer and reports whether it was the last one.
func (a *attempt) take(frame upstream.Frame, out sink) (bool, error) {
	if (frame.Head != nil) == a.begun || frame.Open != nil || frame.Reserved != nil || frame.Run != nil {
		return false, unknown(upstream.ReasonMismatch, ErrFrameOrder)
	}
	a.begun = true
	var err error
	if frame.Head != nil {
		err = out.head(*frame.Head)
	}
	if err == nil && len(frame.Data) > 0 {
		_, _ = a.sum.Write(frame.Data) // never fails
		a.length += uint64(len(frame.Data))
		err = out.data(frame.Data, frame.LastEventID)
	}
	if err != nil {
		return false, unknown(upstream.ReasonFailed, err)
	}
	if frame.End == nil {
		return false, nil
	}
	if frame.End.Length != a.length || frame.End.Checksum != a.sum.Sum64() {
		return false, unknown(upstream.ReasonMismatch, ErrCorrupt)
	}
	return true, nil
}

// next returns the next frame of the attempt, or the error that ends it.
func (a *attempt) next() (upstream.Frame, error) {
	var frame upstream.Frame
	err := a.stream.Receive(&frame)
	if err != nil {
		return frame, a.lost(err)
	}
	if frame.Attempt != a.id {
		return frame, unknown(upstream.ReasonMismatch, fmt.Errorf("%w: frame of attempt %s", ErrCorrupt, frame.Attempt))
	}
	if frame.Timestamp != nil {
		a.ring.Observe(*frame.Timestamp)
	}
	if frame.Refusal != nil && a.begun {
		return frame, unknown(upstream.ReasonMismatch, fmt.Errorf("%w: refusal after the answer began", ErrFrameOrder))
	}
	if frame.Refusal != nil {
		return frame, refusedBy(frame.Refusal)
	}
	if frame.Failure != nil {
		return frame, unknown(frame.Failure.Reason, nil)
	}
	return frame, nil
}

// lost is the error of an attempt whose stream broke.
func (a *attempt) lost(err error) *AttemptError {
	return unknown(upstream.ReasonConnectionLost, fmt.Errorf("%w: %w", ErrTruncated, err))
}

// ended returns the error of an attempt, which is the end of ctx if that broke
// the stream.
func (a *attempt) ended(ctx context.Context, err error) error {
	var failed *AttemptError
	if errors.As(err, &failed) && failed.lost() && ctx.Err() != nil {
		return unknown(upstream.ReasonExpired, context.Cause(ctx))
	}
	return err
}
