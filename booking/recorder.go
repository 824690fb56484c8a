package booking

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// settleTries bounds the reads after a lost answer of the table.
const settleTries = 4

// Recorder keeps the records of bookings in the table, for good.
type Recorder struct {
	Table foxtailstack.Table
	// Objects keeps the answers that are too long for a row. Without it they
	// are not recorded.
	Objects foxtailstack.ObjectStore
}

// Lookup returns the record under key and whether there is one.
func (r Recorder) Lookup(ctx context.Context, key Key) (Record, bool, error) {
	row, err := r.Table.Get(ctx, key.row())
	if errors.Is(err, foxtailstack.ErrNotFound) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	record, err := decodeRecord(row)
	return record, err == nil, err
}

// decodeRecord returns the record in a row.
func decodeRecord(row foxtailstack.Row) (Record, error) {
	record := Record{}
	err := wire.Unmarshal(row.Value, &record)
	if err != nil {
		return Record{}, fmt.Errorf("%w: record: %w", ErrUnsettled, err)
	}
	record.Version = row.Version
	return record, nil
}

// Claim claims key for an attempt in place of the record of version expect;
// zero means that there is none. It returns the fencing number of the claim. It
// returns ErrClaimed if another writer came first and ErrUnavailable if the
// claim cannot be confirmed. After an error the attempt must not run; the claim
// may still take effect later, and then names an attempt that never starts.
func (r Recorder) Claim(
	ctx context.Context,
	key Key,
	digest Digest,
	claim Claim,
	expect foxtailstack.Version,
) (foxtailstack.FencingToken, error) {
	record := Record{
		State:  Claimed,
		Digest: digest,
		Claim:  claim,
		At:     time.Now().UTC(),
	}
	number := foxtailstack.FencingToken(expect + 1)
	var err error
	for range settleTries {
		err = r.commit(ctx, key, record, expect)
		if err == nil {
			return number, nil
		}
		if errors.Is(err, foxtailstack.ErrUnavailable) || ctx.Err() != nil {
			break
		}
		current, found, lookupErr := r.Lookup(ctx, key)
		switch {
		case lookupErr != nil:
			return 0, fmt.Errorf("%w: %w", ErrUnavailable, lookupErr)
		case found && current.heldBy(claim, number):
			return number, nil
		case current.Version != expect:
			return 0, ErrClaimed
		}
	}
	return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// Finish stores the answer of the attempt that holds the claim with the given
// fencing number. It may be repeated. It returns ErrClaimed if the record is no
// longer that attempt's and ErrTooLong if the answer cannot be kept whole.
func (r Recorder) Finish(
	ctx context.Context,
	key Key,
	digest Digest,
	claim Claim,
	number foxtailstack.FencingToken,
	answer Answer,
) error {
	kept, err := r.store(ctx, claim.Attempt, answer)
	if err != nil {
		return err
	}
	return r.conclude(ctx, key, number, Record{
		State:  Done,
		Digest: digest,
		Claim:  claim,
		Answer: kept,
	})
}

// Lose marks the outcome of the attempt that holds the claim with the given
// fencing number as unknown and lists the booking for operators. It leaves a
// record that is Done as it is.
func (r Recorder) Lose(
	ctx context.Context,
	key Key,
	digest Digest,
	claim Claim,
	number foxtailstack.FencingToken,
) error {
	return r.conclude(ctx, key, number, Record{
		State:  Lost,
		Digest: digest,
		Claim:  claim,
	})
}

// conclude writes the outcome of a claim. An outcome that is known replaces one
// that was Lost; nothing replaces a known one.
func (r Recorder) conclude(ctx context.Context, key Key, number foxtailstack.FencingToken, record Record) error {
	record.At = time.Now().UTC()
	expect := foxtailstack.Version(number)
	index := record.State == Lost
	var err error
	for range settleTries {
		err = r.commitIndexed(ctx, key, record, expect, index)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrUnavailable) || errors.Is(err, foxtailstack.ErrUnavailable) || ctx.Err() != nil {
			break
		}
		current, found, lookupErr := r.Lookup(ctx, key)
		if lookupErr != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, lookupErr)
		}
		switch {
		case !found, current.Claim.Attempt != record.Claim.Attempt, current.Settlement != nil:
			return ErrClaimed
		case current.State == Done, current.State == record.State:
			return nil
		}
		expect = current.Version
		index = index || current.State == Lost
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// commit writes a record in place of the one of version expect.
func (r Recorder) commit(ctx context.Context, key Key, record Record, expect foxtailstack.Version) error {
	return r.commitIndexed(ctx, key, record, expect, false)
}

// commitIndexed writes a record and, if asked to, its place in the index of
// unsettled bookings.
func (r Recorder) commitIndexed(
	ctx context.Context,
	key Key,
	record Record,
	expect foxtailstack.Version,
	index bool,
	more ...foxtailstack.Write,
) error {
	value, err := wire.Marshal(record)
	if err != nil {
		return err
	}
	writes := append([]foxtailstack.Write{{
		Key:    key.row(),
		Expect: expect,
		Value:  value,
	}}, more...)
	if index {
		entry, err := r.indexWrite(ctx, key, record.State == Lost)
		if err != nil {
			return err
		}
		writes = append(writes, entry)
	}
	return r.Table.Commit(ctx, writes...)
}
