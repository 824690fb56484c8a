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
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
)

// The claim of an attempt that may have run cannot be replaced by another attempt
// of the same request. The claim of a refused attempt can. Otherwise a booking
// would run twice, or never.
func TestClaimOfOwnAttempt(t *testing.T) {
	for name, lastFrame := range map[string]*upstream.Frame{
		"cut":     nil,
		"refused": {Refusal: &upstream.Refusal{Reason: upstream.ReasonDown}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				s := &Server{
					Client:   wire.NewLocalClient(sidecarEndingWith(lastFrame)),
					Recorder: booking.Recorder{Table: &memstore.Store{}},
					Ring:     &timeline.Ring{},
				}
				p := &retrier{
					server: s,
					request: &request{
						team:           "blenders",
						idempotencyKey: "k",
						callerTimeout:  time.Minute,
					},
					out: &response{w: httptest.NewRecorder()},
				}
				s.Chooser = discardChooser{}
				err := p.attempt(ctx, fleet.Member{}, quarantine.Admission{})
				_, err2 := s.Recorder.Claim(ctx, p.request.bookingKey(), booking.DigestOf(nil),
					booking.Claim{Attempt: foxtailstack.NewAttemptID()}, p.request.replaceableVersion)
				if (err2 == nil) != (lastFrame != nil) || (err2 != nil && !errors.Is(err2, booking.ErrClaimed)) {
					t.Errorf("after an attempt with error %v, the next claim returned %v", err, err2)
				}
			})
		})
	}
}

// discardChooser discards reports and chooses no upstreams.
type discardChooser struct{ Chooser }

func (discardChooser) Report(fleet.Member, AttemptResult) {}

// sidecarEndingWith returns a sidecar that reserves the attempt, waits for Run and
// then ends the stream with lastFrame, or breaks it if lastFrame is nil. Inquiries
// cannot be sent.
func sidecarEndingWith(lastFrame *upstream.Frame) wire.Opener {
	return func(_ context.Context, _ foxtailstack.Address, kind wire.Kind) (*wire.Stream, error) {
		if kind != upstream.StreamAttempt {
			return nil, wire.ErrUnreachable
		}
		local, remote := wire.Pipe()
		go func() {
			var open, run upstream.Frame
			_ = remote.Receive(&open)
			_ = remote.Send(upstream.Frame{
				Attempt:  open.Attempt,
				Reserved: &upstream.Reserved{},
			})
			_ = remote.Receive(&run)
			if lastFrame == nil {
				remote.Cancel()
				return
			}
			answer := *lastFrame
			answer.Attempt = open.Attempt
			_ = remote.Send(answer)
		}()
		return local, nil
	}
}
