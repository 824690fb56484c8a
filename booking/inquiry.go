package booking

import (
	"context"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// StreamInquiry is the kind of the streams that carry inquiries.
const StreamInquiry wire.Kind = "booking-inquiry"

// Inquiry asks the sidecar that a claim names how the attempt went. An attempt
// that has not started is barred by it.
type Inquiry struct {
	Attempt     foxtailstack.AttemptID   `cbor:"1,keyasint"`
	Incarnation foxtailstack.Incarnation `cbor:"2,keyasint"`
}

// Finding is the answer to an Inquiry.
type Finding struct {
	Outcome foxtailstack.Outcome `cbor:"1,keyasint"`
	// Answer is set if the outcome is Ran.
	Answer Answer `cbor:"2,keyasint"`
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
	_ = stream.Send(r.find(ctx, inquiry)) // the other end may be gone
}

// find returns the outcome of an attempt and waits while it runs.
func (r Responder) find(ctx context.Context, inquiry Inquiry) Finding {
	if inquiry.Incarnation != r.Incarnation {
		return Finding{Outcome: foxtailstack.Unknown}
	}
	if r.Ledger.Bar(inquiry.Attempt) {
		return Finding{Outcome: foxtailstack.NotRun}
	}
	answer, ok := r.Ledger.Wait(ctx, inquiry.Attempt)
	if !ok {
		return Finding{Outcome: foxtailstack.Unknown}
	}
	return Finding{
		Outcome: foxtailstack.Ran,
		Answer:  answer,
	}
}
