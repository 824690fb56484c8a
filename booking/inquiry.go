package booking

import (
	"context"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// StreamInquiry is the kind of the streams that carry inquiries.
const StreamInquiry wire.Kind = "booking-inquiry"

// Inquiry asks the sidecar that a claim names how the attempt went. An attempt
// that has not started when its reservation lapses is barred by it.
type Inquiry struct {
	Attempt     foxtailstack.AttemptID   `cbor:"1,keyasint"`
	Incarnation foxtailstack.Incarnation `cbor:"2,keyasint"`
	// Now asks for an answer at once, also while the attempt runs.
	Now bool `cbor:"3,keyasint,omitempty"`
}

// Finding is the answer to an Inquiry.
type Finding struct {
	// Outcome is Ran if the answer is in the table. It is NotRun if the attempt
	// has not started and never will, or if its outcome is in the table and the
	// ledger has forgotten it: NotRun holds only if the record, read again, is
	// still the same.
	Outcome foxtailstack.Outcome `cbor:"1,keyasint"`
	// Running is set with Unknown if the attempt may start, runs, or its answer
	// is not recorded yet. Otherwise Unknown is final.
	Running bool `cbor:"2,keyasint,omitempty"`
}

// Responder answers inquiries from the ledger of one incarnation.
type Responder struct {
	Incarnation foxtailstack.Incarnation
	Ledger      *Ledger
}

// ServeInquiry is the handler of StreamInquiry.
func (r Responder) ServeInquiry(ctx context.Context, stream *wire.Stream) {
	var inquiry Inquiry
	err := stream.Receive(&inquiry)
	if err != nil {
		stream.Cancel()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	_ = stream.Send(r.find(ctx, inquiry)) // the other end may be gone
}

// find returns the outcome of an attempt and waits while it runs. Whatever ran
// in another incarnation can never be known.
func (r Responder) find(ctx context.Context, inquiry Inquiry) Finding {
	if inquiry.Incarnation != r.Incarnation {
		return Finding{Outcome: foxtailstack.Unknown}
	}
	if inquiry.Now {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		ctx = ended
	}
	return r.Ledger.Ask(ctx, inquiry.Attempt)
}
