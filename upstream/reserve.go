package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack/booking"
)

const (
	// reservation is how long a reserved attempt waits for Run.
	reservation = 5 * time.Second
	// finishTimeout bounds one write of an answer to the record.
	finishTimeout = 2 * time.Second
	// finishRetry is the time between two writes of an answer to the record.
	finishRetry = 500 * time.Millisecond
)

// reserve waits until the entry lets the attempt start.
func (a *attempt) reserve() bool {
	err := a.server.Ledger.Reserve(a.id, reservation)
	if err != nil {
		a.refuse(ReasonBarred)
		return false
	}
	err = a.send(Frame{Reserved: &Reserved{Incarnation: a.server.Incarnation}})
	if err != nil {
		a.server.Ledger.Bar(a.id)
		return false
	}
	_ = a.stream.SetReadDeadline(time.Now().Add(reservation))
	var frame Frame
	err = a.stream.Receive(&frame)
	if err != nil || frame.Run == nil || frame.Run.Claim.Incarnation != a.server.Incarnation {
		a.server.Ledger.Bar(a.id)
		a.refuse(ReasonExpired)
		return false
	}
	a.run = frame.Run
	err = a.server.Ledger.Start(a.id)
	if err != nil {
		a.refuse(ReasonBarred)
		return false
	}
	return true
}

// finish records how a non-idempotent attempt ended.
func (a *attempt) finish(err error) {
	if a.run == nil {
		return
	}
	a.server.Ledger.Finish(a.id, a.answer, err == nil)
	if err != nil {
		return
	}
	digest := booking.DigestOf(a.open.Body)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		err = a.server.Recorder.Finish(ctx, a.run.Key.Key(), digest, a.run.Claim, a.run.Number, a.answer)
		cancel()
		if !errors.Is(err, booking.ErrUnavailable) {
			return
		}
		time.Sleep(finishRetry)
	}
}
