package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/upstream"
)

// recordUnknownTimeout is the timeout for adding a booking to the index of unsettled
// bookings, which are those of unknown outcome.
const recordUnknownTimeout = 5 * time.Second

// EventBookingUnknown is recorded when the caller of a booking receives the
// outcome unknown.
const EventBookingUnknown timeline.Kind = "booking-unknown"

// claim waits for the reservation of the sidecar, claims the key of the booking
// and sends the Run frame that starts the attempt. The attempt cannot start before
// Run is sent, so that each earlier error has the outcome NotRun.
func (a *attempt) claim(ctx context.Context, s *Server) error {
	frame, err := a.nextFrame()
	var attemptErr *AttemptError
	if errors.As(err, &attemptErr) {
		return withheldError(attemptErr.Reason, attemptErr.RetryAfter, attemptErr.Err)
	}
	if frame.Reserved == nil {
		return withheldError(upstream.ReasonBarred, 0, ErrTruncated) // the first frame is no reservation
	}
	claim := booking.Claim{
		Attempt:     a.id,
		Upstream:    a.member.ID.String(),
		Address:     a.member.Address,
		Incarnation: frame.Reserved.Incarnation,
	}
	key := a.request.bookingKey()
	fencingToken, err := s.Recorder.Claim(ctx, key, booking.DigestOf(a.request.body), claim, a.request.replaceableVersion)
	if err != nil {
		return withheldError(upstream.ReasonBarred, 0, err)
	}
	err = a.stream.Send(upstream.Frame{
		Attempt: a.id,
		Run: &upstream.Run{
			Key: upstream.BookingKey{
				Team:        key.Team,
				Fleet:       key.Service.Fleet,
				Service:     key.Service.Service,
				Idempotency: key.Idempotency,
			},
			Claim:        claim,
			FencingToken: fencingToken,
		},
	})
	if err != nil {
		return unknownError(upstream.ReasonFailed, err) // Run may have arrived although Send failed
	}
	// The fencing token of a claim is the version of its record.
	a.request.claimedVersion = foxtailstack.Version(fencingToken)
	return nil
}

// Resolver returns a resolver that finds out the outcome of a booking from its
// record and the sidecar that the record names.
func (s *Server) Resolver() booking.Resolver {
	return booking.Resolver{
		Recorder: s.Recorder,
		Inquire:  s.inquire,
	}
}

// answerFromRecord writes the recorded answer of a booking that has run. It
// returns false and no error if the request needs an attempt, which may then
// replace the record of an earlier one.
func (s *Server) answerFromRecord(ctx context.Context, req *request, out *response) (bool, error) {
	key := req.bookingKey()
	err := key.Check()
	if err != nil {
		return false, withheldError("", 0, err)
	}
	resolution, err := s.Resolver().Resolve(ctx, key, booking.DigestOf(req.body))
	switch {
	case errors.Is(err, booking.ErrMismatch):
		return false, withheldError(upstream.ReasonBarred, 0, err)
	case errors.Is(err, booking.ErrLost), errors.Is(err, booking.ErrUnsettled):
		s.recordUnknown(req, err)
		return false, unknownError(upstream.ReasonFailed, err)
	case err != nil:
		return false, withheldError("", 0, err)
	case resolution.Outcome == foxtailstack.Ran:
		return true, out.writeRecorded(resolution.Answer)
	}
	req.replaceableVersion = resolution.Version
	return false, nil
}

// resolveOutcome turns the error of an attempt into the outcome of the booking. If
// another request has claimed the key, or the outcome of the attempt is unknown,
// it queries the record and the sidecar that the record names, and returns nil if
// the record has an answer. It queries nothing once a part of the answer has been
// sent or ctx has ended.
func (s *Server) resolveOutcome(ctx context.Context, req *request, out *response, lastErr error) error {
	var attemptErr *AttemptError
	if !errors.As(lastErr, &attemptErr) {
		return lastErr
	}
	if attemptErr.Outcome == foxtailstack.NotRun && !errors.Is(lastErr, booking.ErrClaimed) {
		// The sidecar may have refused the attempt after the entry claimed the key.
		// The next attempt may then replace that claim.
		req.replaceableVersion = max(req.replaceableVersion, req.claimedVersion)
		return lastErr
	}
	// The claim may be of a running attempt, which must not be replaced.
	req.claimedVersion = 0
	if out.started || ctx.Err() != nil {
		s.recordUnknown(req, lastErr)
		return unknownError(attemptErr.Reason, lastErr)
	}
	answered, err := s.answerFromRecord(ctx, req, out)
	switch {
	case answered:
		return err
	case errors.Is(err, booking.ErrUnavailable):
		s.recordUnknown(req, lastErr)
		return unknownError(attemptErr.Reason, fmt.Errorf("%w: %w", booking.ErrUnsettled, err))
	case err != nil:
		return err
	}
	return withheldError(upstream.ReasonBarred, 0, nil) // not run, may be attempted again
}

// recordUnknown records EventBookingUnknown and, in the background, adds the
// booking to the index of unsettled bookings.
func (s *Server) recordUnknown(req *request, err error) {
	s.Ring.Record(timeline.Event{
		Kind:     EventBookingUnknown,
		Resource: req.serviceID.String(),
		Text:     err.Error(),
	})
	if errors.Is(err, booking.ErrLost) {
		return // lost bookings are listed already
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordUnknownTimeout)
		defer cancel()
		_ = s.Recorder.AddUnsettled(ctx, req.bookingKey()) // a repetition by the caller also settles it
	}()
}

// inquire asks the sidecar at an address for the state of an attempt.
func (s *Server) inquire(
	ctx context.Context,
	address foxtailstack.Address,
	inquiry booking.Inquiry,
) (booking.Finding, error) {
	var finding booking.Finding
	err := s.Client.Call(ctx, address, booking.StreamInquiry, inquiry, &finding)
	return finding, err
}
