package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// Partitions of the configuration in the table.
const (
	partitionHead     = "config-head"
	partitionLog      = "config-log"
	partitionResource = "config-resource"
	partitionChange   = "config-change"
)

const (
	// logRetention is how long the table keeps changes for replicas that lag.
	logRetention = time.Hour
	// changeRetention is how long a repeated change is known as one.
	changeRetention = 24 * time.Hour
	// pageSize is the number of rows read at once.
	pageSize = 500
)

// headKey is the key of the row whose version is the revision.
var headKey = foxtailstack.Key{
	Partition: partitionHead,
	Sort:      "revision",
}

// Change is one change of one resource.
type Change struct {
	ChangeID foxtailstack.ChangeID `cbor:"1,keyasint"`
	Resource Resource              `cbor:"2,keyasint"`
	// At is when the change was committed, by the clock of the committer.
	At time.Time `cbor:"3,keyasint"`
	// Digest is that of the proposal.
	Digest Digest `cbor:"4,keyasint"`
}

// Digest tells the proposals apart that come under one ChangeID.
type Digest uint64

// Proposal is a change that an operator asks for.
type Proposal struct {
	// ChangeID makes a repeat of the same proposal one change.
	ChangeID foxtailstack.ChangeID
	ID       ID
	// Expect is the version that the change replaces; zero for a new resource.
	Expect foxtailstack.Version
	Delete bool
	Spec   []byte
	// Digest tells other proposals under the same ChangeID apart.
	Digest Digest
	// References refuses a change that would leave a reference to an absent
	// resource.
	References bool
	// Assume lists absent resources that may be referred to all the same, for a
	// check of several changes of which none is made.
	Assume []ID
}

// Store commits changes to the table and reads them back.
type Store struct {
	Table foxtailstack.Table
}

// Head returns the highest committed revision.
func (s Store) Head(ctx context.Context) (foxtailstack.Revision, error) {
	row, err := s.Table.Get(ctx, headKey)
	if errors.Is(err, foxtailstack.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return foxtailstack.Revision(row.Version), nil
}

// Get returns a resource, or ErrNotFound. For a deleted resource it returns its
// remains together with ErrNotFound.
func (s Store) Get(ctx context.Context, id ID) (Resource, error) {
	row, err := s.Table.Get(ctx, resourceKey(id))
	if errors.Is(err, foxtailstack.ErrNotFound) {
		return Resource{}, ErrNotFound
	}
	if err != nil {
		return Resource{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	change, err := decodeChange(row)
	if err != nil {
		return Resource{}, err
	}
	if change.Resource.Deleted {
		return change.Resource, ErrNotFound
	}
	return change.Resource, nil
}

// Since returns the changes after a revision, up to the highest that is
// committed. It returns ErrGap if the log no longer holds all of them.
func (s Store) Since(ctx context.Context, revision foxtailstack.Revision) ([]Change, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for revision < head {
		rows, err := s.Table.Range(ctx, partitionLog, logKey(revision).Sort, pageSize)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if len(rows) == 0 {
			return nil, fmt.Errorf("%w: none after %d, expected up to %d", ErrGap, revision, head)
		}
		for _, row := range rows {
			change, err := decodeChange(row)
			if err != nil {
				return nil, err
			}
			revision++
			if change.Resource.Revision != revision {
				return nil, fmt.Errorf("%w: next is %d, expected %d", ErrGap, change.Resource.Revision, revision)
			}
			changes = append(changes, change)
		}
	}
	return changes, nil
}

// Find returns the change under a ChangeID, or ErrNotFound.
func (s Store) Find(ctx context.Context, id foxtailstack.ChangeID) (Change, error) {
	row, err := s.Table.Get(ctx, changeKey(id))
	if errors.Is(err, foxtailstack.ErrNotFound) {
		return Change{}, ErrNotFound
	}
	if err != nil {
		return Change{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return decodeChange(row)
}

// Load returns all resources, the remains of deleted ones included, and a
// revision that they are at least as new as.
func (s Store) Load(ctx context.Context) ([]Change, foxtailstack.Revision, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, 0, err
	}
	var changes []Change
	after := ""
	for {
		rows, err := s.Table.Range(ctx, partitionResource, after, pageSize)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		for _, row := range rows {
			change, err := decodeChange(row)
			if err != nil {
				return nil, 0, err
			}
			changes = append(changes, change)
		}
		if len(rows) < pageSize {
			return changes, head, nil
		}
		after = rows[len(rows)-1].Key.Sort
	}
}

// visible returns the version that operators see: zero for a deleted resource.
func visible(r Resource) foxtailstack.Version {
	if r.Deleted {
		return 0
	}
	return r.Version
}

// resourceKey returns the key of a resource's row.
func resourceKey(id ID) foxtailstack.Key {
	return foxtailstack.Key{
		Partition: partitionResource,
		Sort:      id.String(),
	}
}

// changeKey returns the key of the row that makes a repeated change one.
func changeKey(id foxtailstack.ChangeID) foxtailstack.Key {
	return foxtailstack.Key{
		Partition: partitionChange,
		Sort:      id.String(),
	}
}

// logKey returns the key of a revision's row in the change log.
func logKey(revision foxtailstack.Revision) foxtailstack.Key {
	return foxtailstack.Key{
		Partition: partitionLog,
		Sort:      fmt.Sprintf("%016x", uint64(revision)),
	}
}

// decodeChange returns the change in a row.
func decodeChange(row foxtailstack.Row) (Change, error) {
	var change Change
	err := wire.Unmarshal(row.Value, &change)
	if err != nil {
		return Change{}, fmt.Errorf("row %s/%s: %w", row.Key.Partition, row.Key.Sort, err)
	}
	return change, nil
}
