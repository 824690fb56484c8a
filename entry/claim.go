package entry

import (
	"context"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/upstream"
)

// claim waits for the reservation, claims the booking's key and lets the
// attempt start.
func (a *attempt) claim(ctx context.Context, s *Server) error {
	frame, err := a.next()
	if err != nil {
		return err
	}
	if frame.Reserved == nil {
		return notRun(upstream.ReasonBarred, 0, ErrBroken)
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
			Claim:  claim,
			Number: number,
		},
	})
	if err != nil {
		return unknown(upstream.ReasonFailed, err)
	}
	return nil
}

// repeat answers a booking that has been recorded before. It reports whether
// the request needs no attempt, and otherwise the version of the record that an
// attempt may replace.
func (s *Server) repeat(ctx context.Context, req *request, out *response) (bool, foxtailstack.Version, error) {
	record, found, err := s.Recorder.Lookup(ctx, req.bookingKey())
	if err != nil {
		return false, 0, notRun("", 0, err)
	}
	if !found {
		return false, 0, nil
	}
	if record.Digest != booking.DigestOf(req.body) {
		return false, 0, notRun(upstream.ReasonBarred, 0, booking.ErrMismatch)
	}
	if record.State == booking.Done {
		return true, 0, out.whole(record.Answer)
	}
	finding, err := s.inquire(ctx, record.Claim)
	if err != nil {
		return false, 0, unknown(upstream.ReasonDown, err)
	}
	switch finding.Outcome {
	case foxtailstack.Ran:
		return true, 0, out.whole(finding.Answer)
	case foxtailstack.NotRun:
		return false, record.Version, nil
	}
	return false, 0, unknown(upstream.ReasonFailed, booking.ErrClaimed)
}

// inquire asks the sidecar that a claim names how the attempt went.
func (s *Server) inquire(ctx context.Context, claim booking.Claim) (booking.Finding, error) {
	var finding booking.Finding
	err := s.Client.Call(ctx, claim.Address, booking.StreamInquiry, booking.Inquiry{
		Attempt:     claim.Attempt,
		Incarnation: claim.Incarnation,
	}, &finding)
	return finding, err
}
