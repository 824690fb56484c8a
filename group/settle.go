package group

import (
	"context"

	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

// settleSwitch ends a switch that a planner, perhaps this one, has left open. If
// a rank is armed for the held pass, it arms all ranks for the same map. If no
// rank is armed, an order to arm may still be under way, so it arms all ranks at
// the held pass for the map that all have prepared. Then it releases the group.
// It only releases the group if no such map exists or the armed pass is not the
// held one, and does nothing if no rank holds the group.
func (s *switcher) settleSwitch(ctx context.Context, survey *Survey) error {
	version, step, armed := survey.armed()
	holder, held, isHeld := survey.holdingRank()
	if !isHeld {
		return nil // the group has been released, so all ranks are armed and change maps at the armed pass
	}
	settledSwitchesTotal.Inc()
	s.log.Info("switch left open is ended",
		zap.Uint64("pass", uint64(held)), zap.Bool("armed", armed), zap.Uint64("map", uint64(version)))
	if !armed {
		step = held
		version, armed = survey.commonPrepared()
	}
	if armed && step == held {
		err := s.armAll(ctx, version, step)
		if err != nil {
			return err
		}
	}
	return s.release(ctx, holder, held)
}

// settleWithoutProposer ends a switch that its proposer has left open and whose
// proposer's rank does not answer. If that rank is certainly not armed, it undoes
// the switch: it disarms the ranks that answered and releases the group. If the
// rank certainly is armed, all ranks are, and it completes the switch by
// releasing the group. Otherwise the group has to wait for the rank. It does
// nothing if no rank holds the group.
func (s *switcher) settleWithoutProposer(ctx context.Context, survey *Survey, version foxtailstack.Epoch) error {
	holder, held, isHeld := survey.holdingRank()
	if !isHeld {
		return nil
	}
	undo := survey.proposerRankUnarmed(version)
	if !undo && !survey.proposerRankArmed(version) {
		return nil
	}
	settledSwitchesTotal.Inc()
	s.log.Info("switch left open is ended without its maker",
		zap.Uint64("pass", uint64(held)), zap.Uint64("map", uint64(version)), zap.Bool("undone", undo))
	if undo {
		err := s.disarmAll(ctx, version)
		if err != nil {
			return err
		}
	}
	return s.release(ctx, holder, held)
}
