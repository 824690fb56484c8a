package expert

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
)

// stageRetry is the time between two tries to stage a map.
const stageRetry = time.Second

// stage loads the weights of a proposal in the background. It leaves a staging
// of a higher epoch alone and gives up one of a lower epoch.
func (a *Agent) stage(ctx context.Context, p Proposal) {
	if p == a.staging || p.Epoch < a.staging.Epoch {
		return
	}
	a.staging = p
	base := a.member.state.Epoch
	rank := a.member.rank
	go func() {
		for {
			err := a.load(ctx, rank, base, p)
			if err == nil {
				break
			}
			if errors.Is(err, ErrProposed) || clock.Sleep(ctx, stageRetry) != nil {
				return
			}
		}
		select {
		case a.staged <- p:
		case <-ctx.Done():
		}
	}()
}

// load loads what a rank holds in a proposed map and not in its present one.
func (a *Agent) load(ctx context.Context, rank foxtailstack.Rank, base foxtailstack.Epoch, p Proposal) error {
	next, err := a.Store.Get(ctx, p)
	if err != nil {
		return err
	}
	current := a.InitialMap
	if base > 0 {
		current, err = a.Store.Find(ctx, base)
		if err != nil {
			return err
		}
	}
	for l, layer := range next.Layers {
		if l >= len(current.Layers) || int(rank) >= len(layer) || int(rank) >= len(current.Layers[l]) {
			return fmt.Errorf("%w: layer %d of epoch %d", ErrProposed, l, p.Epoch)
		}
		for _, e := range layer[rank] {
			if holds(current.Layers[l][rank], e) {
				continue
			}
			err = a.Weights.Load(ctx, l, e)
			if err != nil {
				return fmt.Errorf("%w: weights of expert %d: %w", ErrStore, e, err)
			}
		}
	}
	return nil
}
