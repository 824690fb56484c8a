package booking

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/wire"
)

const (
	// indexPartition lists the bookings whose outcome is or was in doubt.
	indexPartition = "booking-unknown"
	// indexLinger is how long the table keeps the remains of an entry.
	indexLinger = time.Hour
)

// pointer is an entry of the index. What it says of a booking is a hint: the
// record alone tells whether the booking is unsettled.
type pointer struct {
	Team        foxtailstack.TeamName    `cbor:"1,keyasint"`
	Fleet       foxtailstack.FleetName   `cbor:"2,keyasint"`
	Service     foxtailstack.ServiceName `cbor:"3,keyasint"`
	Idempotency string                   `cbor:"4,keyasint"`
	// Open is unset in the remains of an entry.
	Open bool `cbor:"5,keyasint"`
}

// key returns the Key that p points to.
func (p pointer) key() Key {
	return Key{
		Team: p.Team,
		Service: fleet.ServiceID{
			Fleet:   p.Fleet,
			Service: p.Service,
		},
		Idempotency: p.Idempotency,
	}
}

// indexKey returns the key of the entry of a booking.
func indexKey(key Key) foxtailstack.Key {
	row := key.row()
	return foxtailstack.Key{
		Partition: indexPartition,
		Sort:      row.Partition + "/" + row.Sort,
	}
}

// indexWrite returns the write that opens or closes the entry of a booking.
func (r Recorder) indexWrite(ctx context.Context, key Key, open bool) (foxtailstack.Write, error) {
	value, err := wire.Marshal(pointer{
		Team:        key.Team,
		Fleet:       key.Service.Fleet,
		Service:     key.Service.Service,
		Idempotency: key.Idempotency,
		Open:        open,
	})
	if err != nil {
		return foxtailstack.Write{}, err
	}
	write := foxtailstack.Write{
		Key:   indexKey(key),
		Value: value,
	}
	if !open {
		write.Expires = time.Now().Add(indexLinger)
	}
	row, err := r.Table.Get(ctx, write.Key)
	if err != nil && !errors.Is(err, foxtailstack.ErrNotFound) {
		return write, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	write.Expect = row.Version
	return write, nil
}

// AddUnsettled adds a booking whose outcome its caller did not learn to the index of
// unsettled bookings, so that operators see it even if the caller never returns.
func (r Recorder) AddUnsettled(ctx context.Context, key Key) error {
	write, err := r.indexWrite(ctx, key, true)
	if err == nil {
		err = r.Table.Commit(ctx, write)
	}
	if errors.Is(err, foxtailstack.ErrConflict) {
		return nil // another writer has just listed or settled it
	}
	return err
}

// Unsettled is a booking whose outcome is not known.
type Unsettled struct {
	Key
	Record
}

// List returns the unsettled bookings among at most n entries of the index
// after a position, and the position of the last entry; it is empty at the end.
func (r Recorder) List(ctx context.Context, after string, n int) ([]Unsettled, string, error) {
	rows, err := r.Table.Range(ctx, indexPartition, after, n)
	if err != nil {
		return nil, "", fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var unsettled []Unsettled
	next := ""
	for _, row := range rows {
		next = row.Key.Sort
		var p pointer
		err = wire.Unmarshal(row.Value, &p)
		if err != nil {
			return nil, "", fmt.Errorf("entry %q of the index: %w", row.Key.Sort, err)
		}
		if !p.Open {
			continue
		}
		record, found, err := r.Lookup(ctx, p.key())
		if err != nil {
			return nil, "", err
		}
		if found && (record.State == Claimed || record.State == Lost) {
			unsettled = append(unsettled, Unsettled{
				Key:    p.key(),
				Record: record,
			})
			continue
		}
		r.unlist(ctx, p.key())
	}
	if len(rows) < n {
		next = ""
	}
	return unsettled, next, nil
}

// unlist closes the entry of a booking that has been settled. If that fails the
// next List does it.
func (r Recorder) unlist(ctx context.Context, key Key) {
	write, err := r.indexWrite(ctx, key, false)
	if err == nil {
		_ = r.Table.Commit(ctx, write)
	}
}

// Scan returns the unsettled bookings among at most n records of a team at a
// service after a position, and the position of the last record; it is empty at
// the end. Unlike List it finds also a booking that nobody was left to list,
// because its entry and its sidecar died together; it reads all records.
func (r Recorder) Scan(ctx context.Context, of Key, after string, n int) ([]Unsettled, string, error) {
	rows, err := r.Table.Range(ctx, of.row().Partition, after, n)
	if err != nil {
		return nil, "", fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var unsettled []Unsettled
	next := ""
	for _, row := range rows {
		next = row.Key.Sort
		record, err := decodeRecord(row)
		if err != nil {
			return nil, "", err
		}
		idempotency, err := hex.DecodeString(row.Key.Sort)
		if err != nil {
			return nil, "", fmt.Errorf("record %q: %w", row.Key.Sort, err)
		}
		if record.State != Claimed && record.State != Lost {
			continue
		}
		found := of
		found.Idempotency = string(idempotency)
		unsettled = append(unsettled, Unsettled{
			Key:    found,
			Record: record,
		})
	}
	if len(rows) < n {
		next = ""
	}
	return unsettled, next, nil
}
