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

// Errors of Store. Test for them with errors.Is.
var (
	// ErrEpochTaken means that the epoch has another map than the one proposed,
	// for example that of a concurrent planner, or that the map has other layers
	// or ranks than the map in use.
	ErrEpochTaken = errors.New("epoch already has another map")
	// ErrStore means that the table did not answer, answered with an error, or
	// returned a row that cannot be decoded. Staging also returns it if weights
	// cannot be loaded.
	ErrStore = errors.New("expert map store failed")
)

// epochDigits is the number of digits of an epoch in a sort key, zero-padded so
// that keys sort by epoch.
const epochDigits = 20

// Store stores the proposed maps of one group in the table, one row for each
// epoch.
type Store struct {
	Table foxtailstack.Table
	Group string
}

// Put stores a map under its epoch unless another map is stored there. If the
// outcome of the write is unknown, or a row exists already, it reads the row
// back and returns ErrEpochTaken if it holds another map. It returns ErrStore if
// the table fails; if the outcome of the write is unknown and the row cannot be
// read back, the map may have been stored nevertheless.
func (s Store) Put(ctx context.Context, m foxtailstack.ExpertMap) (Proposal, error) {
	data, err := wire.Marshal(m)
	if err != nil {
		return Proposal{}, fmt.Errorf("%w: encode epoch %d: %w", ErrStore, m.Epoch, err)
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
		return Proposal{}, fmt.Errorf("%w: put epoch %d: %w", ErrStore, m.Epoch, err)
	}
	_, err = s.Get(ctx, p)
	return p, err
}

// Get returns the map of a proposal. It returns ErrEpochTaken if another map is
// stored under its epoch, and ErrStore if the table fails.
func (s Store) Get(ctx context.Context, p Proposal) (foxtailstack.ExpertMap, error) {
	row, err := s.Table.Get(ctx, s.key(p.Epoch))
	if err != nil {
		return foxtailstack.ExpertMap{}, fmt.Errorf("%w: get epoch %d: %w", ErrStore, p.Epoch, err)
	}
	if xxh3.Hash(row.Value) != p.Digest {
		return foxtailstack.ExpertMap{}, fmt.Errorf("%w: epoch %d", ErrEpochTaken, p.Epoch)
	}
	return s.decode(row)
}

// GetEpoch returns the map stored under an epoch. It returns ErrStore if the
// table fails.
func (s Store) GetEpoch(ctx context.Context, epoch foxtailstack.Epoch) (foxtailstack.ExpertMap, error) {
	row, err := s.Table.Get(ctx, s.key(epoch))
	if err != nil {
		return foxtailstack.ExpertMap{}, fmt.Errorf("%w: get epoch %d: %w", ErrStore, epoch, err)
	}
	return s.decode(row)
}

// NextEpoch returns the epoch that follows the highest one stored, or after+1 if
// no epoch above after is stored. It returns ErrStore if the table fails.
func (s Store) NextEpoch(ctx context.Context, after foxtailstack.Epoch) (foxtailstack.Epoch, error) {
	const page = 16
	for {
		rows, err := s.Table.Range(ctx, s.partition(), s.key(after).Sort, page)
		if err != nil {
			return 0, fmt.Errorf("%w: find next epoch after %d: %w", ErrStore, after, err)
		}
		if len(rows) == 0 {
			return after + 1, nil
		}
		last, err := strconv.ParseUint(rows[len(rows)-1].Key.Sort, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%w: find next epoch after %d: %w", ErrStore, after, err)
		}
		after = foxtailstack.Epoch(last)
	}
}

// decode decodes the map in a row.
func (s Store) decode(row foxtailstack.Row) (foxtailstack.ExpertMap, error) {
	var m foxtailstack.ExpertMap
	err := wire.Unmarshal(row.Value, &m)
	if err != nil {
		return foxtailstack.ExpertMap{}, fmt.Errorf("%w: decode epoch %s: %w", ErrStore, row.Key.Sort, err)
	}
	return m, nil
}

// partition returns the partition key of the group's rows.
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
