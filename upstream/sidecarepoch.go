package upstream

import (
	"context"
	"errors"
	"fmt"

	"github.com/foxtailstack/foxtailstack"
	"github.com/samber/oops"
)

// partitionSidecar is the table partition with one row for each upstream, whose version
// is the epoch of its sidecar. The name is stored and cannot change.
const partitionSidecar = "holder"

// Errors of a SidecarEpoch. Test for them with errors.Is.
var (
	// ErrNoEpoch means that the epoch could not be read from or claimed in the table.
	ErrNoEpoch = errors.New("no epoch from the table")
	// ErrSuperseded means that another sidecar of the upstream has claimed a later epoch.
	ErrSuperseded = errors.New("a later sidecar holds the upstream")
)

// SidecarEpoch numbers the successive sidecars of one upstream. The epoch of a sidecar
// is the version that a row of the table has after the sidecar has written its
// incarnation to it, which it does once. A SidecarEpoch is not safe for concurrent use.
type SidecarEpoch struct {
	Table       foxtailstack.Table
	Upstream    string
	Incarnation foxtailstack.Incarnation

	epoch foxtailstack.Version
}

// Claim returns the epoch of this sidecar, which is higher than those of all former
// sidecars. It claims one on the first call. It returns ErrNoEpoch if the table fails or
// another sidecar claims an epoch at the same time.
func (e *SidecarEpoch) Claim(ctx context.Context) (foxtailstack.Version, error) {
	if e.epoch > 0 {
		return e.epoch, nil
	}
	row, err := e.read(ctx)
	if err != nil {
		return 0, err
	}
	if string(row.Value) == e.value() { // the response to an earlier Commit was lost
		e.epoch = row.Version
		return e.epoch, nil
	}
	err = e.Table.Commit(ctx, foxtailstack.Write{
		Key:    e.key(),
		Expect: row.Version,
		Value:  []byte(e.value()),
	})
	if err != nil {
		return 0, oops.With("upstream", e.Upstream).Wrap(fmt.Errorf("%w: %w", ErrNoEpoch, err))
	}
	e.epoch = row.Version + 1
	return e.epoch, nil
}

// CheckCurrent returns ErrSuperseded if another sidecar has claimed a later epoch, and
// ErrNoEpoch if the table fails. It must be called after Claim has succeeded.
func (e *SidecarEpoch) CheckCurrent(ctx context.Context) error {
	row, err := e.read(ctx)
	if err != nil {
		return err
	}
	if row.Version != e.epoch {
		return ErrSuperseded
	}
	return nil
}

// read returns the row of the upstream, which is the zero Row before the first claim.
func (e *SidecarEpoch) read(ctx context.Context) (foxtailstack.Row, error) {
	row, err := e.Table.Get(ctx, e.key())
	if err != nil && !errors.Is(err, foxtailstack.ErrNotFound) {
		return row, oops.With("upstream", e.Upstream).Wrap(fmt.Errorf("%w: %w", ErrNoEpoch, err))
	}
	return row, nil
}

// key returns the key of the row.
func (e *SidecarEpoch) key() foxtailstack.Key {
	return foxtailstack.Key{
		Partition: partitionSidecar,
		Sort:      e.Upstream,
	}
}

// value returns the value that this sidecar writes to the row.
func (e *SidecarEpoch) value() string {
	return e.Incarnation.String()
}
