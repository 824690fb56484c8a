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

// answerSink receives the answer of one attempt.
type answerSink interface {
	// writeHead starts the answer with its status and content type.
	writeHead(h upstream.Head) error
	// writeData writes a piece of the body. lastEvent is the number of the last
	// event up to the end of the piece, or zero if the events have no numbers.
	writeData(b []byte, lastEvent uint64) error
}

// attempt is one attempt of a request on one upstream.
type attempt struct {
	id      foxtailstack.AttemptID
	request *request
	member  fleet.Member
	// lastEvent is the number of the last event that the caller has received
	// (see upstream.Frame.LastEventID). The answer resumes after it. The sidecar
	// receives it as upstream.Open.ReceivedEvents.
	lastEvent uint64
	// suspect is set if an upstream crashed while it ran an equal request.
	suspect bool

	ring   *timeline.Ring
	stream *wire.Stream
	// answerBegun is set once the head of the answer has been received.
	answerBegun bool
	// checksum and received are the hash and the length in bytes of the body
	// received so far.
	checksum xxh3.Hasher
	received uint64
}

// run makes the attempt and writes the answer to out. ctx must have a deadline. The
// error, if any, is an *AttemptError.
func (a *attempt) run(ctx context.Context, s *Server, out answerSink) error {
	deadline, _ := ctx.Deadline()
	stream, err := s.Client.Open(ctx, a.member.Address, upstream.StreamAttempt)
	if err != nil {
		return unsentError(upstream.ReasonDown, 0, err)
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
			ReceivedEvents: a.lastEvent,
			Timeout:        time.Until(deadline),
			Reserve:        !a.request.policy.Idempotent,
			// Streams of model engines end with an event of their own.
			ModelEngine: a.request.service.Model != "",
			Suspect:     a.suspect,
		},
	})
	if err != nil && !a.request.policy.Idempotent {
		return withheldError(upstream.ReasonDown, 0, err) // without Run it never starts
	}
	if err != nil {
		return a.withContextCause(ctx, a.connectionLostError(err))
	}
	if !a.request.policy.Idempotent {
		err = a.claim(ctx, s)
		if err != nil {
			return a.withContextCause(ctx, err)
		}
	}
	return a.withContextCause(ctx, a.receiveAnswer(out))
}

// receiveAnswer writes the answer to out up to its last frame.
func (a *attempt) receiveAnswer(out answerSink) error {
	for {
		frame, err := a.nextFrame()
		if err != nil {
			return err
		}
		complete, err := a.handleFrame(frame, out)
		if err != nil || complete {
			return err
		}
	}
}

// handleFrame writes one frame of the answer to out and reports whether it was the
// last one.
func (a *attempt) handleFrame(frame upstream.Frame, out answerSink) (bool, error) {
	// The first frame of an answer, and no other, has a head.
	if (frame.Head != nil) == a.answerBegun || frame.Open != nil || frame.Reserved != nil || frame.Run != nil {
		return false, unknownError(upstream.ReasonMismatch, ErrFrameOrder)
	}
	a.answerBegun = true
	var err error
	if frame.Head != nil {
		err = out.writeHead(*frame.Head)
	}
	if err == nil && len(frame.Data) > 0 {
		_, _ = a.checksum.Write(frame.Data) // never fails
		a.received += uint64(len(frame.Data))
		err = out.writeData(frame.Data, frame.LastEventID)
	}
	if err != nil {
		return false, unknownError(upstream.ReasonFailed, err)
	}
	if frame.End == nil {
		return false, nil
	}
	if frame.End.Length != a.received || frame.End.Checksum != a.checksum.Sum64() {
		return false, unknownError(upstream.ReasonMismatch, ErrCorrupt)
	}
	return true, nil
}

// nextFrame returns the next frame of the attempt, or an *AttemptError if the
// stream broke, or the sidecar refused or failed the attempt.
func (a *attempt) nextFrame() (upstream.Frame, error) {
	var frame upstream.Frame
	err := a.stream.Receive(&frame)
	if err != nil {
		return frame, a.connectionLostError(err)
	}
	if frame.Attempt != a.id {
		return frame, unknownError(upstream.ReasonMismatch, fmt.Errorf("%w: frame of attempt %s", ErrCorrupt, frame.Attempt))
	}
	if frame.Timestamp != nil {
		a.ring.Observe(*frame.Timestamp)
	}
	if frame.Refusal != nil && a.answerBegun {
		return frame, unknownError(upstream.ReasonMismatch, fmt.Errorf("%w: refusal after the answer began", ErrFrameOrder))
	}
	if frame.Refusal != nil {
		return frame, refusalError(frame.Refusal)
	}
	if frame.Failure != nil {
		return frame, unknownError(frame.Failure.Reason, nil)
	}
	return frame, nil
}

// connectionLostError returns the error of an attempt whose stream broke.
func (a *attempt) connectionLostError(err error) *AttemptError {
	return unknownError(upstream.ReasonConnectionLost, fmt.Errorf("%w: %w", ErrTruncated, err))
}

// withContextCause returns the error of an attempt. If the end of ctx broke the
// stream, the error has the outcome Unknown, ReasonExpired and the cause of that
// end, also if the caller disconnected.
func (a *attempt) withContextCause(ctx context.Context, err error) error {
	var attemptErr *AttemptError
	if errors.As(err, &attemptErr) && attemptErr.connectionLost() && ctx.Err() != nil {
		return unknownError(upstream.ReasonExpired, context.Cause(ctx))
	}
	return err
}
