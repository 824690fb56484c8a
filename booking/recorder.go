package booking

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

const (
	// retention is how long a record is kept.
	retention = 30 * 24 * time.Hour
	// settleTries bounds the reads after a lost answer of the table.
	settleTries = 4
)

// Recorder keeps the records of bookings in the table.
type Recorder struct {
	Table foxtailstack.Table
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
	record := Record{}
	err = wire.Unmarshal(row.Value, &record)
	if err != nil {
		return Record{}, false, fmt.Errorf("record of booking: %w", err)
	}
	record.Version = row.Version
	return record, true, nil
}

// Claim claims key for an attempt in place of the record of version expect;
// zero means that there is none. It returns the fencing number of the claim. It
// returns ErrClaimed if another attempt came first and ErrUnavailable if the
// claim cannot be confirmed, in which case the attempt must not run.
func (r Recorder) Claim(
	ctx context.Context,
	key Key,
	digest Digest,
	claim Claim,
	expect foxtailstack.Version,
) (foxtailstack.FencingNumber, error) {
	record := Record{
		State:   Claimed,
		Digest:  digest,
		Claim:   claim,
		Claimed: time.Now(),
	}
	err := r.write(ctx, key, record, expect)
	for range settleTries {
		if err == nil {
			return foxtailstack.FencingNumber(expect + 1), nil
		}
		if errors.Is(err, foxtailstack.ErrUnavailable) || ctx.Err() != nil {
			break
		}
		current, found, lookupErr := r.Lookup(ctx, key)
		switch {
		case lookupErr != nil:
			err = lookupErr
		case found && current.Version > expect && current.Claim.Attempt == claim.Attempt:
			return foxtailstack.FencingNumber(expect + 1), nil
		case found && current.Version > expect:
			return 0, ErrClaimed
		default:
			err = r.write(ctx, key, record, expect)
		}
	}
	return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// Finish stores the answer of the attempt that holds the claim with the given
// fencing number. It may be repeated.
func (r Recorder) Finish(
	ctx context.Context,
	key Key,
	digest Digest,
	claim Claim,
	number foxtailstack.FencingNumber,
	answer Answer,
) error {
	record := Record{
		State:   Done,
		Digest:  digest,
		Claim:   claim,
		Answer:  answer,
		Claimed: time.Now(),
	}
	err := r.write(ctx, key, record, foxtailstack.Version(number))
	if errors.Is(err, foxtailstack.ErrConflict) {
		return ErrClaimed
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// write writes a record in place of the one of version expect.
func (r Recorder) write(ctx context.Context, key Key, record Record, expect foxtailstack.Version) error {
	value, err := wire.Marshal(record)
	if err != nil {
		return err
	}
	return r.Table.Commit(ctx, foxtailstack.Write{
		Key:     key.row(),
		Expect:  expect,
		Value:   value,
		Expires: time.Now().Add(retention),
	})
}
