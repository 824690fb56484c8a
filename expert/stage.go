package expert

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
)

// stageRetry is the time between two tries to load the weights of a proposed
// map.
const stageRetry = time.Second

// startStaging loads the weights of a proposal in the background, again after
// failures, until it succeeds, finds that the epoch has another map, or ctx ends.
// It does nothing if the last staging started was of the same proposal or of a
// higher epoch, even if that staging has ended. It must be called from the
// goroutine of Run.
//
// The result of an earlier staging still arrives in stagedProposals. If it
// arrives after that of the newer one, it replaces it in the member, which then
// votes no on the newer map; the newer map is not staged again.
func (a *Agent) startStaging(ctx context.Context, p Proposal) {
	if p == a.staging || p.Epoch < a.staging.Epoch {
		return
	}
	a.staging = p
	base := a.member.state.Epoch
	rank := a.member.rank
	go func() {
		for {
			err := a.loadWeights(ctx, rank, base, p)
			if err == nil {
				break
			}
			if errors.Is(err, ErrEpochTaken) || clock.Sleep(ctx, stageRetry) != nil {
				return
			}
		}
		select {
		case a.stagedProposals <- p:
		case <-ctx.Done():
		}
	}()
}

// loadWeights loads the weights of the experts that a rank holds in the proposed
// map and not in the map of epoch base.
func (a *Agent) loadWeights(ctx context.Context, rank foxtailstack.Rank, base foxtailstack.Epoch, p Proposal) error {
	next, err := a.Store.Get(ctx, p)
	if err != nil {
		return err
	}
	current := a.InitialMap
	if base > 0 {
		current, err = a.Store.GetEpoch(ctx, base)
		if err != nil {
			return err
		}
	}
	for l, layer := range next.Layers {
		if l >= len(current.Layers) || int(rank) >= len(layer) || int(rank) >= len(current.Layers[l]) {
			return fmt.Errorf("%w: shape of layer %d of epoch %d differs from the map in use", ErrEpochTaken, l, p.Epoch)
		}
		for _, e := range layer[rank] {
			if holds(current.Layers[l][rank], e) {
				continue
			}
			err = a.Weights.Load(ctx, l, e)
			if err != nil {
				return fmt.Errorf("%w: load weights of expert %d of layer %d: %w", ErrStore, e, l, err)
			}
		}
	}
	return nil
}
