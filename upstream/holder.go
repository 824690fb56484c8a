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
	// ErrNoNumber means that the table gave no number yet.
	ErrNoNumber = errors.New("no number from the table")
	// ErrSuperseded means that a later sidecar stands beside the upstream.
	ErrSuperseded = errors.New("a later sidecar holds the upstream")
)

// Holder numbers the sidecars of one upstream by the version of a row in the
// table, which each of them writes once.
type Holder struct {
	Table       foxtailstack.Table
	Upstream    string
	Incarnation foxtailstack.Incarnation

	number foxtailstack.Version
}

// Raise returns the number of this sidecar, which is higher than those before.
// It returns ErrNoNumber if the table is down.
func (h *Holder) Raise(ctx context.Context) (foxtailstack.Version, error) {
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
		return 0, oops.With("upstream", h.Upstream).Wrap(fmt.Errorf("%w: %w", ErrNoNumber, err))
	}
	h.number = row.Version + 1
	return h.number, nil
}

// Check returns ErrSuperseded if a later sidecar has raised the number, and
// ErrNoNumber if the table does not say.
func (h *Holder) Check(ctx context.Context) error {
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
func (h *Holder) read(ctx context.Context) (foxtailstack.Row, error) {
	row, err := h.Table.Get(ctx, h.key())
	if err != nil && !errors.Is(err, foxtailstack.ErrNotFound) {
		return row, oops.With("upstream", h.Upstream).Wrap(fmt.Errorf("%w: %w", ErrNoNumber, err))
	}
	return row, nil
}

// key returns the key of the row.
func (h *Holder) key() foxtailstack.Key {
	return foxtailstack.Key{
		Partition: partitionHolder,
		Sort:      h.Upstream,
	}
}

// value returns the value that this sidecar writes.
func (h *Holder) value() string {
	return h.Incarnation.String()
}
