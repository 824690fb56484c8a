package upstream

import (
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
)

// reservationTimeout is the time for which a reserved attempt waits for Run.
const reservationTimeout = 5 * time.Second

// errUnrecorded means that the entry disconnected before the response was recorded.
var errUnrecorded = errors.New("response is not recorded yet")

// claimState is the additional state of an attempt that runs under a claim on a booking
// key.
type claimState struct {
	// releaseSlot releases the slot of the attempt. Only the first call has an effect.
	releaseSlot func()
	// answer is the part of the response that the engine has sent so far.
	answer booking.Answer
	// flushed is set once the result has been passed to the Flusher.
	flushed bool
}

// reserve reserves the attempt in the ledger and waits until the entry starts it. If it
// returns false, the engine has not seen the attempt and will not see it.
func (a *attempt) reserve() bool {
	ledger := a.server.Ledger
	if a.server.Flusher.Full() {
		a.refuse(ReasonFull)
		return false
	}
	err := ledger.Reserve(a.id, reservationTimeout)
	if errors.Is(err, booking.ErrFull) {
		a.refuse(ReasonFull)
		return false
	}
	if err != nil {
		a.stream.Cancel() // a refusal would be taken for one of the attempt that holds the id
		return false
	}
	defer ledger.Drop(a.id)
	err = a.send(Frame{Reserved: &Reserved{Incarnation: a.server.Incarnation}})
	if err != nil {
		return false
	}
	_ = a.stream.SetReadDeadline(time.Now().Add(reservationTimeout))
	var frame Frame
	err = a.stream.Receive(&frame)
	if err != nil || !a.validRun(frame) {
		ledger.Drop(a.id)
		a.refuse(ReasonExpired)
		return false
	}
	err = ledger.Start(a.id)
	if err != nil {
		ledger.Drop(a.id)
		a.refuse(ReasonBarred)
		return false
	}
	_ = a.stream.SetReadDeadline(time.Time{})
	a.run = frame.Run
	return true
}

// validRun reports whether a frame starts this attempt on this incarnation of the
// sidecar.
func (a *attempt) validRun(frame Frame) bool {
	return frame.Attempt == a.id &&
		frame.Run != nil &&
		frame.Run.Claim.Attempt == a.id &&
		frame.Run.Claim.Incarnation == a.server.Incarnation
}

// recordBody appends data to the recorded response of an attempt under a claim. The
// recorded body exceeds booking.MaxAnswer by at most one piece of data.
func (a *attempt) recordBody(data []byte) {
	if a.run != nil && len(a.claim.answer.Body) <= booking.MaxAnswer {
		a.claim.answer.Body = append(a.claim.answer.Body, data...)
	}
}

// awaitRecord waits until the response of an attempt under a claim has been recorded.
// Until then the response could be lost, so that the entry must not learn its end.
func (a *attempt) awaitRecord() error {
	if a.run == nil {
		return nil
	}
	select {
	case err := <-a.flush(false):
		return err
	case <-a.stream.Context().Done():
		return errUnrecorded
	}
}

// recordOutcome records the outcome of an attempt under a claim, unless awaitRecord has
// recorded it.
func (a *attempt) recordOutcome(err error) {
	if a.run == nil || a.claim.flushed {
		return
	}
	if errors.Is(err, foxtailstack.ErrEngineRefused) {
		_ = a.server.Ledger.Refuse(a.id)
		a.server.Ledger.Drop(a.id)
		return
	}
	a.flush(true)
}

// flush passes the result to the Flusher, which retries until it has written it to the
// table, and releases the slot already.
func (a *attempt) flush(failed bool) <-chan error {
	a.claim.flushed = true
	a.claim.releaseSlot()
	return a.server.Flusher.Flush(booking.Result{
		Key:    a.run.Key.Key(),
		Digest: booking.DigestOf(a.open.Body),
		Claim:  a.run.Claim,
		Number: a.run.FencingToken,
		Answer: a.claim.answer,
		Failed: failed,
	})
}
