package fleet

import (
	"context"
	"errors"
)

// Poller brings a replica up to date from the table.
type Poller struct {
	Store   Store
	Replica *Replica
}

// Poll applies what the table has and the replica lacks.
func (p Poller) Poll(ctx context.Context) error {
	revision := p.Replica.Snapshot().Revision
	if revision == 0 {
		return p.load(ctx)
	}
	changes, err := p.Store.Since(ctx, revision)
	if errors.Is(err, ErrGap) {
		return p.load(ctx)
	}
	if err != nil {
		return err
	}
	return p.Replica.Apply(changes)
}

// load applies the whole configuration.
func (p Poller) load(ctx context.Context) error {
	changes, revision, err := p.Store.Load(ctx)
	if err != nil {
		return err
	}
	return p.Replica.Load(changes, revision)
}
