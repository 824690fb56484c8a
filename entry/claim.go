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

// suspectTimeout bounds the listing of a booking whose outcome is unknown.
const suspectTimeout = 5 * time.Second

// EventBookingUnknown is the event of a booking whose caller was told unknown.
const EventBookingUnknown timeline.Kind = "booking-unknown"

// claim waits for the reservation, claims the booking's key and lets the
// attempt start. Until Run is sent the attempt cannot start, so that every
// error before that means that it has not run.
func (a *attempt) claim(ctx context.Context, s *Server) error {
	frame, err := a.next()
	var failed *AttemptError
	if errors.As(err, &failed) {
		return notRun(failed.Reason, failed.Retry, failed.Err)
	}
	if frame.Reserved == nil {
		return notRun(upstream.ReasonBarred, 0, ErrTruncated)
	}
	claim := booking.Claim{
		Attempt:     a.id,
		Upstream:    a.member.ID.String(),
		Address:     a.member.Address,
		Incarnation: frame.Reserved.Incarnation,
	}
	key := a.request.bookingKey()
	number, err := s.Recorder.Claim(ctx, key, booking.DigestOf(a.request.body), claim, a.request.replaces)
	if err != nil {
		return notRun(upstream.ReasonBarred, 0, err)
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
			FencingToken: number,
		},
	})
	if err != nil {
		return unknown(upstream.ReasonFailed, err)
	}
	a.request.claimed = foxtailstack.Version(number)
	return nil
}

// Resolver returns what finds out the outcome of a booking.
func (s *Server) Resolver() booking.Resolver {
	return booking.Resolver{
		Recorder: s.Recorder,
		Inquire:  s.inquire,
	}
}

// repeat answers a booking that has been recorded before. It reports whether
// the request needs no attempt; otherwise the next attempt may replace the
// record, if there is one.
func (s *Server) repeat(ctx context.Context, req *request, out *response) (bool, error) {
	key := req.bookingKey()
	err := key.Check()
	if err != nil {
		return false, notRun("", 0, err)
	}
	resolution, err := s.Resolver().Resolve(ctx, key, booking.DigestOf(req.body))
	switch {
	case errors.Is(err, booking.ErrMismatch):
		return false, notRun(upstream.ReasonBarred, 0, err)
	case errors.Is(err, booking.ErrLost), errors.Is(err, booking.ErrUnsettled):
		s.suspect(req, err)
		return false, unknown(upstream.ReasonFailed, err)
	case err != nil:
		return false, notRun("", 0, err)
	case resolution.Outcome == foxtailstack.Ran:
		return true, out.whole(resolution.Answer)
	}
	req.replaces = resolution.Version
	return false, nil
}

// rejoin turns the error of an attempt into what is known of the booking: if
// another request holds the key, or it is not known whether the attempt ran, the
// record and the sidecar that it names are asked.
func (s *Server) rejoin(ctx context.Context, req *request, out *response, last error) error {
	var failed *AttemptError
	if !errors.As(last, &failed) {
		return last
	}
	if failed.Outcome == foxtailstack.NotRun && !errors.Is(last, booking.ErrClaimed) {
		// The sidecar may have refused the attempt after its claim, which the
		// next attempt then replaces.
		req.replaces = max(req.replaces, req.claimed)
		return last
	}
	req.claimed = 0
	if out.begun || ctx.Err() != nil {
		s.suspect(req, last)
		return unknown(failed.Reason, last)
	}
	done, err := s.repeat(ctx, req, out)
	switch {
	case done:
		return err
	case errors.Is(err, booking.ErrUnavailable):
		s.suspect(req, last)
		return unknown(failed.Reason, fmt.Errorf("%w: %w", booking.ErrUnsettled, err))
	case err != nil:
		return err
	}
	return notRun(upstream.ReasonBarred, 0, nil)
}

// suspect lists a booking whose caller is told that its outcome is unknown, in
// the background.
func (s *Server) suspect(req *request, err error) {
	s.Ring.Record(timeline.Event{
		Kind:     EventBookingUnknown,
		Resource: req.id.String(),
		Text:     err.Error(),
	})
	if errors.Is(err, booking.ErrLost) {
		return // it is listed already
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
		defer cancel()
		_ = s.Recorder.Suspect(ctx, req.bookingKey()) // the caller may come back
	}()
}

// inquire asks the sidecar at an address how an attempt went.
func (s *Server) inquire(
	ctx context.Context,
	address foxtailstack.Address,
	inquiry booking.Inquiry,
) (booking.Finding, error) {
	var finding booking.Finding
	err := s.Client.Call(ctx, address, booking.StreamInquiry, inquiry, &finding)
	return finding, err
}
