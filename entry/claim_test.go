package entry

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
)

// The claim of an attempt that may have run cannot be replaced by a further
// attempt of the same request; the claim of a refused one can.
func TestClaimOfOwnAttempt(t *testing.T) {
	for name, last := range map[string]*upstream.Frame{
		"cut":     nil,
		"refused": {Refusal: &upstream.Refusal{Reason: upstream.ReasonDown}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				s := &Server{
					Client:   wire.NewLocalClient(sidecarThatEndsWith(last)),
					Recorder: booking.Recorder{Table: &memstore.Store{}},
					Ring:     &timeline.Ring{},
				}
				p := &pursuit{
					server: s,
					request: &request{
						team:        "blenders",
						idempotency: "k",
						deadline:    time.Minute,
					},
					out: &response{w: httptest.NewRecorder()},
				}
				s.Chooser = silentChooser{}
				err := p.attempt(ctx, fleet.Member{}, pass{})
				_, err2 := s.Recorder.Claim(ctx, p.request.bookingKey(), booking.DigestOf(nil),
					booking.Claim{Attempt: foxtailstack.NewAttemptID()}, p.request.replaces)
				if (err2 == nil) != (last != nil) || (err2 != nil && !errors.Is(err2, booking.ErrClaimed)) {
					t.Errorf("after %v the next claim got %v", err, err2)
				}
			})
		})
	}
}

// silentChooser hears how attempts went.
type silentChooser struct{ Chooser }

func (silentChooser) Report(fleet.Member, AttemptResult) {}

// sidecarThatEndsWith reserves, waits for Run and ends the stream with a frame,
// or cuts it. Nobody answers inquiries.
func sidecarThatEndsWith(last *upstream.Frame) wire.Opener {
	return func(_ context.Context, _ foxtailstack.Address, kind wire.Kind) (*wire.Stream, error) {
		if kind != upstream.StreamAttempt {
			return nil, wire.ErrUnreachable
		}
		near, far := wire.Pipe()
		go func() {
			var open, run upstream.Frame
			_ = far.Receive(&open)
			_ = far.Send(upstream.Frame{
				Attempt:  open.Attempt,
				Reserved: &upstream.Reserved{},
			})
			_ = far.Receive(&run)
			if last == nil {
				far.Cancel()
				return
			}
			answer := *last
			answer.Attempt = open.Attempt
			_ = far.Send(answer)
		}()
		return near, nil
	}
}
