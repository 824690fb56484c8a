package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/zeebo/xxh3"
)

// sink takes the answer of one attempt.
type sink interface {
	head(h upstream.Head) error
	data(b []byte) error
}

// attempt is one attempt of a request on one upstream.
type attempt struct {
	id      foxtailstack.AttemptID
	request *request
	member  fleet.Member
	stream  *wire.Stream
	sum     *xxh3.Hasher
	length  uint64
}

// run makes the attempt and hands the answer to out. Its error, if any, is an
// *AttemptError.
func (a *attempt) run(ctx context.Context, s *Server, out sink) error {
	deadline, _ := ctx.Deadline()
	stream, err := s.Client.Open(ctx, a.member.Address, upstream.StreamAttempt)
	if err != nil {
		return notRun(upstream.ReasonDown, 0, err)
	}
	a.stream = stream
	a.sum = xxh3.New()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	defer stream.Cancel()
	err = stream.Send(upstream.Frame{
		Attempt: a.id,
		Open: &upstream.Open{
			Upstream:    a.member.ID.String(),
			Team:        a.request.team,
			Path:        a.request.service.Path,
			ContentType: a.request.contentType,
			Body:        a.request.body,
			Priority:    a.request.priority,
			Stream:      a.request.stream,
			Left:        time.Until(deadline),
			Reserve:     !a.request.policy.Idempotent,
		},
	})
	if err != nil && !a.request.policy.Idempotent {
		return notRun(upstream.ReasonDown, 0, err) // without Run it never starts
	}
	if err != nil {
		return a.lost(err)
	}
	if !a.request.policy.Idempotent {
		err = a.claim(ctx, s)
		if err != nil {
			return err
		}
	}
	return a.receive(out)
}

// receive hands the answer to out until its last frame.
func (a *attempt) receive(out sink) error {
	for {
		frame, err := a.next()
		if err != nil {
			return err
		}
		switch {
		case frame.Head != nil:
			err = out.head(*frame.Head)
		case frame.Data != nil:
			_, _ = a.sum.Write(frame.Data) // never fails
			a.length += uint64(len(frame.Data))
			err = out.data(frame.Data)
		case frame.End != nil:
			if frame.End.Length != a.length || frame.End.Sum != a.sum.Sum64() {
				return unknown(upstream.ReasonMismatch, ErrCorrupt)
			}
			return nil
		default:
			err = ErrBroken
		}
		if err != nil {
			return unknown(upstream.ReasonFailed, err)
		}
	}
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
	if frame.Refusal != nil {
		return frame, notRun(frame.Refusal.Reason, frame.Refusal.Retry, nil)
	}
	if frame.Failure != nil {
		return frame, unknown(frame.Failure.Reason, nil)
	}
	return frame, nil
}

// lost is the error of an attempt whose stream broke.
func (a *attempt) lost(err error) error {
	return unknown(upstream.ReasonFailed, fmt.Errorf("%w: %w", ErrBroken, err))
}
