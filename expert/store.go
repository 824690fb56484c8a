package expert

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/zeebo/xxh3"
)

// Errors of the store of maps. Test for them with errors.Is.
var (
	// ErrProposed means that another planner has taken the epoch.
	ErrProposed = errors.New("epoch has another map")
	// ErrStore means that the table did not answer or not well.
	ErrStore = errors.New("store of maps failed")
)

// epochDigits is the length of an epoch in a sort key.
const epochDigits = 20

// Store keeps the proposed maps of one group in the table, one row an epoch.
type Store struct {
	Table foxtailstack.Table
	Group string
}

// Put writes a map under its epoch, unless another one is there already. A lost
// answer is settled by reading the row back.
func (s Store) Put(ctx context.Context, m foxtailstack.ExpertMap) (Proposal, error) {
	data, err := wire.Marshal(m)
	if err != nil {
		return Proposal{}, fmt.Errorf("%w: %w", ErrStore, err)
	}
	p := Proposal{
		Epoch:  m.Epoch,
		Digest: xxh3.Hash(data),
	}
	err = s.Table.Commit(ctx, foxtailstack.Write{
		Key:   s.key(m.Epoch),
		Value: data,
	})
	if err == nil {
		return p, nil
	}
	if !errors.Is(err, foxtailstack.ErrUncertain) && !errors.Is(err, foxtailstack.ErrConflict) {
		return Proposal{}, fmt.Errorf("%w: %w", ErrStore, err)
	}
	_, err = s.Get(ctx, p)
	return p, err
}

// Get returns the map of a proposal. It returns ErrProposed if the epoch has
// another map.
func (s Store) Get(ctx context.Context, p Proposal) (foxtailstack.ExpertMap, error) {
	row, err := s.Table.Get(ctx, s.key(p.Epoch))
	if err != nil {
		return foxtailstack.ExpertMap{}, fmt.Errorf("%w: %w", ErrStore, err)
	}
	if xxh3.Hash(row.Value) != p.Digest {
		return foxtailstack.ExpertMap{}, fmt.Errorf("%w: epoch %d", ErrProposed, p.Epoch)
	}
	return s.decode(row)
}

// Find returns the map of an epoch.
func (s Store) Find(ctx context.Context, epoch foxtailstack.Epoch) (foxtailstack.ExpertMap, error) {
	row, err := s.Table.Get(ctx, s.key(epoch))
	if err != nil {
		return foxtailstack.ExpertMap{}, fmt.Errorf("%w: %w", ErrStore, err)
	}
	return s.decode(row)
}

// Next returns the first epoch that no map has been proposed for, from one on.
func (s Store) Next(ctx context.Context, after foxtailstack.Epoch) (foxtailstack.Epoch, error) {
	const page = 16
	for {
		rows, err := s.Table.Range(ctx, s.partition(), s.key(after).Sort, page)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrStore, err)
		}
		if len(rows) == 0 {
			return after + 1, nil
		}
		last, err := strconv.ParseUint(rows[len(rows)-1].Key.Sort, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrStore, err)
		}
		after = foxtailstack.Epoch(last)
	}
}

// decode returns the map in a row.
func (s Store) decode(row foxtailstack.Row) (foxtailstack.ExpertMap, error) {
	var m foxtailstack.ExpertMap
	err := wire.Unmarshal(row.Value, &m)
	if err != nil {
		return foxtailstack.ExpertMap{}, fmt.Errorf("%w: %w", ErrStore, err)
	}
	return m, nil
}

// partition returns the partition of the group's rows.
func (s Store) partition() string {
	return "expert/" + s.Group
}

// key returns the key of the row of an epoch.
func (s Store) key(epoch foxtailstack.Epoch) foxtailstack.Key {
	return foxtailstack.Key{
		Partition: s.partition(),
		Sort:      fmt.Sprintf("%0*d", epochDigits, epoch),
	}
}
