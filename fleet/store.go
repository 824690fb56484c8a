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
	// commitTries bounds the repeats of a commit that races with others.
	commitTries = 16
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
}

// Proposal is a change that an operator asks for.
type Proposal struct {
	// ChangeID makes a repeat of the same proposal one change.
	ChangeID foxtailstack.ChangeID
	ID       ID
	// Expect is the version that the change replaces; zero for a new resource.
	Expect foxtailstack.Version
	Delete bool
	Spec   []byte
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

// Commit commits a proposal as one transaction and returns the change. It
// returns ErrStale if the resource has another version, ErrUnavailable if
// nothing was changed and ErrUncertain if that cannot be told.
func (s Store) Commit(ctx context.Context, proposal Proposal) (Change, error) {
	uncertain := false
	for range commitTries {
		change, err := s.try(ctx, proposal)
		switch {
		case err == nil:
			return change, nil
		case errors.Is(err, foxtailstack.ErrUncertain):
			uncertain = true
		case errors.Is(err, foxtailstack.ErrConflict):
			// Another change came first, or this one had taken effect. Versions
			// only rise, so no earlier try can still take effect.
			uncertain = false
		case uncertain:
			return Change{}, fmt.Errorf("%w: %w", ErrUncertain, err)
		case errors.Is(err, ErrStale):
			return Change{}, err
		default:
			return Change{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if uncertain {
		return Change{}, ErrUncertain
	}
	return Change{}, ErrUnavailable
}

// try makes one transaction of a proposal.
func (s Store) try(ctx context.Context, proposal Proposal) (Change, error) {
	changeKey := foxtailstack.Key{
		Partition: partitionChange,
		Sort:      proposal.ChangeID.String(),
	}
	row, err := s.Table.Get(ctx, changeKey)
	if err == nil {
		return decodeChange(row)
	}
	if !errors.Is(err, foxtailstack.ErrNotFound) {
		return Change{}, err
	}
	head, err := s.Head(ctx)
	if err != nil {
		return Change{}, err
	}
	current, err := s.Get(ctx, proposal.ID)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Change{}, err
	}
	if visible(current) != proposal.Expect {
		return Change{}, fmt.Errorf("%w: %s has version %d, expected %d", ErrStale, proposal.ID, visible(current), proposal.Expect)
	}
	return s.write(ctx, proposal, changeKey, head, current.Version)
}

// write commits the rows of a change on condition that nothing has moved.
func (s Store) write(
	ctx context.Context,
	proposal Proposal,
	changeKey foxtailstack.Key,
	head foxtailstack.Revision,
	version foxtailstack.Version,
) (Change, error) {
	now := time.Now()
	change := Change{
		ChangeID: proposal.ChangeID,
		Resource: Resource{
			ID:       proposal.ID,
			Version:  version + 1,
			Revision: head + 1,
			Deleted:  proposal.Delete,
			Spec:     proposal.Spec,
		},
		At: now,
	}
	value, err := wire.Marshal(change)
	if err != nil {
		return Change{}, err
	}
	err = s.Table.Commit(
		ctx,
		foxtailstack.Write{
			Key:    headKey,
			Expect: foxtailstack.Version(head),
		},
		foxtailstack.Write{
			Key:    resourceKey(proposal.ID),
			Expect: version,
			Value:  value,
		},
		foxtailstack.Write{
			Key:     logKey(head + 1),
			Value:   value,
			Expires: now.Add(logRetention),
		},
		foxtailstack.Write{
			Key:     changeKey,
			Value:   value,
			Expires: now.Add(changeRetention),
		},
	)
	return change, err
}

// Get returns a resource, or ErrNotFound. For a deleted resource it returns its
// remains together with ErrNotFound.
func (s Store) Get(ctx context.Context, id ID) (Resource, error) {
	row, err := s.Table.Get(ctx, resourceKey(id))
	if errors.Is(err, foxtailstack.ErrNotFound) {
		return Resource{}, ErrNotFound
	}
	if err != nil {
		return Resource{}, err
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

// Since returns the changes after a revision, at most a page of them. It
// returns ErrGap if the log no longer holds the next one.
func (s Store) Since(ctx context.Context, revision foxtailstack.Revision) ([]Change, error) {
	rows, err := s.Table.Range(ctx, partitionLog, logKey(revision).Sort, pageSize)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	changes := make([]Change, 0, len(rows))
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
	return changes, nil
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
