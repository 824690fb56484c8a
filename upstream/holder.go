package upstream

import (
	"context"
	"errors"
	"fmt"

	"github.com/foxtailstack/foxtailstack"
	"github.com/samber/oops"
)

// partitionHolder is the partition of the rows that number the sidecars of each
// upstream.
const partitionHolder = "holder"

// Errors of a Holder. Test for them with errors.Is.
var (
	// ErrNoEpoch means that the table gave no number yet.
	ErrNoEpoch = errors.New("no number from the table")
	// ErrSuperseded means that a later sidecar stands beside the upstream.
	ErrSuperseded = errors.New("a later sidecar holds the upstream")
)

// SidecarEpoch numbers the sidecars of one upstream by the version of a row in the
// table, which each of them writes once.
type SidecarEpoch struct {
	Table       foxtailstack.Table
	Upstream    string
	Incarnation foxtailstack.Incarnation

	number foxtailstack.Version
}

// Claim returns the number of this sidecar, which is higher than those before.
// It returns ErrNoNumber if the table is down.
func (h *SidecarEpoch) Claim(ctx context.Context) (foxtailstack.Version, error) {
	if h.number > 0 {
		return h.number, nil
	}
	row, err := h.read(ctx)
	if err != nil {
		return 0, err
	}
	if string(row.Value) == h.value() { // an answer was lost
		h.number = row.Version
		return h.number, nil
	}
	err = h.Table.Commit(ctx, foxtailstack.Write{
		Key:    h.key(),
		Expect: row.Version,
		Value:  []byte(h.value()),
	})
	if err != nil {
		return 0, oops.With("upstream", h.Upstream).Wrap(fmt.Errorf("%w: %w", ErrNoEpoch, err))
	}
	h.number = row.Version + 1
	return h.number, nil
}

// CheckCurrent returns ErrSuperseded if a later sidecar has raised the number, and
// ErrNoNumber if the table does not say.
func (h *SidecarEpoch) CheckCurrent(ctx context.Context) error {
	row, err := h.read(ctx)
	if err != nil {
		return err
	}
	if row.Version != h.number {
		return ErrSuperseded
	}
	return nil
}

// read returns the row of the upstream, which is empty before the first number.
func (h *SidecarEpoch) read(ctx context.Context) (foxtailstack.Row, error) {
	row, err := h.Table.Get(ctx, h.key())
	if err != nil && !errors.Is(err, foxtailstack.ErrNotFound) {
		return row, oops.With("upstream", h.Upstream).Wrap(fmt.Errorf("%w: %w", ErrNoEpoch, err))
	}
	return row, nil
}

// key returns the key of the row.
func (h *SidecarEpoch) key() foxtailstack.Key {
	return foxtailstack.Key{
		Partition: partitionHolder,
		Sort:      h.Upstream,
	}
}

// value returns the value that this sidecar writes.
func (h *SidecarEpoch) value() string {
	return h.Incarnation.String()
}
