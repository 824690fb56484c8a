package booking

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// askTimeout bounds the question to the sidecar before a settlement.
const askTimeout = 3 * time.Second

// settledPartition keeps every settlement by an operator, for good.
const settledPartition = "booking-settled"

// Settlement is what an operator found out about an unsettled booking.
type Settlement struct {
	// Attempt is the attempt that the operator has looked into.
	Attempt foxtailstack.AttemptID `cbor:"1,keyasint"`
	// Outcome is Ran or NotRun. After NotRun the key may run anew.
	Outcome  foxtailstack.Outcome `cbor:"2,keyasint"`
	Operator string               `cbor:"3,keyasint"`
	// Word is the operator's reason.
	Word string    `cbor:"4,keyasint"`
	At   time.Time `cbor:"5,keyasint"`
}

// settledBody is the answer that callers get to a booking settled as Ran.
type settledBody struct {
	Settled string `json:"settled"`
	Word    string `json:"word"`
}

// Settle records an operator's word on an unsettled booking. It returns
// ErrNotFound if there is no such booking, ErrSettled if its outcome is known,
// and ErrClaimed if another attempt than the settlement's holds the key.
func (r Recorder) Settle(ctx context.Context, key Key, settlement Settlement) error {
	settlement.At = time.Now().UTC()
	var err error
	for range settleTries {
		current, found, lookupErr := r.Lookup(ctx, key)
		switch {
		case lookupErr != nil:
			return lookupErr
		case !found:
			return ErrNotFound
		case current.Claim.Attempt != settlement.Attempt:
			return ErrClaimed
		case current.Settlement != nil && current.Settlement.same(settlement):
			return nil
		case current.State != Claimed && current.State != Lost:
			return ErrSettled
		}
		err = r.commitSettled(ctx, key, current, settlement)
		if err == nil {
			return nil
		}
		if errors.Is(err, foxtailstack.ErrUnavailable) || ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// same reports whether s and other say the same.
func (s *Settlement) same(other Settlement) bool {
	return s.Attempt == other.Attempt && s.Outcome == other.Outcome &&
		s.Operator == other.Operator && s.Word == other.Word
}

// commitSettled writes the settled record, a copy of the settlement that no
// later claim replaces, and the end of the entry in the index.
func (r Recorder) commitSettled(ctx context.Context, key Key, current Record, settlement Settlement) error {
	record := current
	record.At = settlement.At
	record.Settlement = &settlement
	record.State = Freed
	if settlement.Outcome == foxtailstack.Ran {
		body, err := json.Marshal(settledBody{
			Settled: settlement.Outcome.String(),
			Word:    settlement.Word,
		})
		if err != nil {
			return err
		}
		record.State = Done
		record.Answer = Answer{
			Status:      http.StatusOK,
			ContentType: "application/json",
			Body:        body,
		}
	}
	value, err := wire.Marshal(settlement)
	if err != nil {
		return err
	}
	kept := foxtailstack.Write{
		Key: foxtailstack.Key{
			Partition: settledPartition,
			Sort:      indexKey(key).Sort + "/" + settlement.Attempt.String(),
		},
		Value: value,
	}
	return r.commitIndexed(ctx, key, record, current.Version, true, kept)
}

// Settle records an operator's word unless the sidecar of the claim can still
// tell the outcome. Besides the errors of Recorder.Settle it returns ErrRunning
// while the attempt runs or its answer is on its way to the record.
func (r Resolver) Settle(ctx context.Context, key Key, settlement Settlement) error {
	record, found, err := r.Recorder.Lookup(ctx, key)
	if err != nil {
		return err
	}
	if found && record.State == Claimed && record.Claim.Attempt == settlement.Attempt {
		asked, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		finding, err := r.ask(asked, key, record, true)
		if errors.Is(err, ErrUnsettled) && finding.Running {
			return ErrRunning
		}
	}
	return r.Recorder.Settle(ctx, key, settlement)
}
