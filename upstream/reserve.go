package upstream

import (
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
)

// reservation is how long a reserved attempt waits for Run.
const reservation = 5 * time.Second

// errUnrecorded means that the entry left before the answer was recorded.
var errUnrecorded = errors.New("answer is not recorded yet")

// booked is what an attempt under a claim has besides the other attempts.
type booked struct {
	// leave gives the slot back, once.
	leave func()
	// answer is the answer as far as the engine has given it.
	answer booking.Answer
	// flushed is set once the result is on its way to the table.
	flushed bool
}

// reserve waits until the entry lets the attempt start. If it returns false the
// engine has seen nothing of the attempt and never will.
func (a *attempt) reserve() bool {
	ledger := a.server.Ledger
	if a.server.Flusher.Full() {
		a.refuse(ReasonFull)
		return false
	}
	err := ledger.Reserve(a.id, reservation)
	if errors.Is(err, booking.ErrFull) {
		a.refuse(ReasonFull)
		return false
	}
	if err != nil {
		a.stream.Cancel() // says nothing of the attempt that holds the id
		return false
	}
	defer ledger.Drop(a.id)
	err = a.send(Frame{Reserved: &Reserved{Incarnation: a.server.Incarnation}})
	if err != nil {
		return false
	}
	_ = a.stream.SetReadDeadline(time.Now().Add(reservation))
	var frame Frame
	err = a.stream.Receive(&frame)
	if err != nil || !a.runnable(frame) {
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

// runnable reports whether a frame lets this very attempt start here.
func (a *attempt) runnable(frame Frame) bool {
	return frame.Attempt == a.id &&
		frame.Run != nil &&
		frame.Run.Claim.Attempt == a.id &&
		frame.Run.Claim.Incarnation == a.server.Incarnation
}

// keep keeps a piece of the answer of an attempt under a claim. The answer
// never exceeds what is recorded whole by more than one piece.
func (a *attempt) keep(data []byte) {
	if a.run != nil && len(a.booked.answer.Body) <= booking.MaxAnswer {
		a.booked.answer.Body = append(a.booked.answer.Body, data...)
	}
}

// conclude waits until the answer of an attempt under a claim is recorded, so
// that nobody is told of an answer that could still be lost.
func (a *attempt) conclude() error {
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

// finish records how an attempt under a claim ended, if conclude has not.
func (a *attempt) finish(err error) {
	if a.run == nil || a.booked.flushed {
		return
	}
	if errors.Is(err, foxtailstack.ErrEngineRefused) {
		_ = a.server.Ledger.Refuse(a.id)
		a.server.Ledger.Drop(a.id)
		return
	}
	a.flush(true)
}

// flush hands the result to the flusher, which writes it however long that
// takes, and gives the slot back meanwhile.
func (a *attempt) flush(failed bool) <-chan error {
	a.booked.flushed = true
	a.booked.leave()
	return a.server.Flusher.Flush(booking.Result{
		Key:    a.run.Key.Key(),
		Digest: booking.DigestOf(a.open.Body),
		Claim:  a.run.Claim,
		Number: a.run.FencingToken,
		Answer: a.booked.answer,
		Failed: failed,
	})
}
