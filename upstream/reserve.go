package upstream

import (
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
)

// reservationTimeout is the time for which a reserved attempt waits for Run.
const reservationTimeout = 5 * time.Second

// errUnwritten means that the entry disconnected before the response was written to the
// table.
var errUnwritten = errors.New("response is not written to the table yet")

// claimState is the state of an attempt that records its result under a claim on a
// booking key. releaseSlot and the head of response are set for every attempt.
type claimState struct {
	// releaseSlot releases the slot of the attempt. Only the first call has an effect.
	releaseSlot func()
	// response is the part of the response that the engine has sent so far. Its body is
	// kept only under a claim.
	response booking.Answer
	// flushed is set once the result has been passed to the Flusher, which may not have
	// written it yet.
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
		a.stream.Cancel() // the entry would take a refusal for one of the other attempt with this id
		return false
	}
	defer ledger.Drop(a.id) // has no effect on an attempt that has started
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

// keepBody appends data to the response in the claim state of an attempt under a claim.
// The kept body exceeds booking.MaxAnswer by at most one piece of data.
func (a *attempt) keepBody(data []byte) {
	if a.run != nil && len(a.claim.response.Body) <= booking.MaxAnswer {
		a.claim.response.Body = append(a.claim.response.Body, data...)
	}
}

// awaitWritten waits until the response of an attempt under a claim has been written to
// the table. The end is sent to the entry only then, because an unwritten response could
// still be lost. It returns errUnwritten if the entry disconnects first, or the error of
// the Flusher.
func (a *attempt) awaitWritten() error {
	if a.run == nil {
		return nil
	}
	select {
	case err := <-a.flush(false):
		return err
	case <-a.stream.Context().Done():
		return errUnwritten
	}
}

// flushOutcome passes the outcome of an attempt under a claim to the Flusher, unless
// awaitWritten has done so already. If the engine refused the connection, the attempt has
// not run: it is dropped from the ledger and nothing is written.
func (a *attempt) flushOutcome(err error) {
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

// flush passes the result to the Flusher and releases the slot without waiting for the
// table. The Flusher retries until the result is written or superseded by another claim
// on the booking, or the Flusher is closed. failed means that it is not known whether the
// attempt ran. The channel receives nil once the response is in the table, or the error
// that keeps it out for good, for example because it is too long.
func (a *attempt) flush(failed bool) <-chan error {
	a.claim.flushed = true
	a.claim.releaseSlot()
	return a.server.Flusher.Flush(booking.Result{
		Key:    a.run.Key.Key(),
		Digest: booking.DigestOf(a.open.Body),
		Claim:  a.run.Claim,
		Number: a.run.FencingToken,
		Answer: a.claim.response,
		Failed: failed,
	})
}
