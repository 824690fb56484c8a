package group

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

// pathDelegate is the path of requests to send an order to the rank of another
// sidecar.
const pathDelegate = "/vouch"

// ArmRecord is what a sidecar remembers of its own orders to arm the rank
// beside a map's proposer, which is armed last and only by the sidecars of
// other ranks. If the proposer's machine freezes, its rank cannot be asked; but
// if no other sidecar has ordered it to arm, it is not armed. A sidecar that
// has restarted since has the zero value, which shows nothing about the rank.
type ArmRecord struct {
	Formation Formation `cbor:"1,keyasint"`
	// Map is the newest map that the sidecar's own rank was ordered to prepare.
	// A delegated order sets it too, also if the sidecar has restarted since the
	// order to prepare. covers is then true for such a sidecar, which is harmless
	// as Ordered is set.
	Map foxtailstack.Epoch `cbor:"2,keyasint"`
	// Ordered is set if the sidecar has ordered, or is about to order, the
	// proposer's rank to arm for that map; it stays set if the order fails. Armed
	// is set if the rank has carried out the order.
	Ordered bool `cbor:"3,keyasint,omitempty"`
	Armed   bool `cbor:"4,keyasint,omitempty"`
}

// covers reports whether the record covers all orders of the sidecar to arm for
// a map: the sidecar has not restarted since it was ordered to forward the order
// to prepare that map, or Ordered is set.
func (r ArmRecord) covers(formation Formation, version foxtailstack.Epoch) bool {
	return r.Formation == formation && r.Map == version
}

// afterPrepare returns the record after an order to prepare a map. A record of
// the same or a newer map of the formation is kept; otherwise Ordered and Armed
// are reset.
func (r ArmRecord) afterPrepare(order Order) ArmRecord {
	if r.Formation == order.Formation && r.Map >= order.Map {
		return r
	}
	return ArmRecord{
		Formation: order.Formation,
		Map:       order.Map,
	}
}

// afterOrder returns the record when another rank is about to be ordered to
// arm: Ordered is set, and Armed is kept if the record covers the map.
func (r ArmRecord) afterOrder(order Order) ArmRecord {
	return ArmRecord{
		Formation: order.Formation,
		Map:       order.Map,
		Ordered:   true,
		Armed:     r.covers(order.Formation, order.Map) && r.Armed,
	}
}

// Delegator is a member whose sidecar sends orders to the ranks of other
// sidecars and records them.
type Delegator interface {
	// Delegate makes the member's sidecar order the rank at rankAddress to arm.
	Delegate(ctx context.Context, order Order, rankAddress foxtailstack.Address) error
}

// delegatedOrder is an order that a sidecar is to send to another rank.
type delegatedOrder struct {
	Order       Order                `cbor:"1,keyasint"`
	RankAddress foxtailstack.Address `cbor:"2,keyasint"`
}

// Delegate makes the peer's sidecar order the rank at rankAddress to arm.
func (p *Peer) Delegate(ctx context.Context, order Order, rankAddress foxtailstack.Address) error {
	return p.call(ctx, http.MethodPost, pathDelegate, delegatedOrder{
		Order:       order,
		RankAddress: rankAddress,
	}, nil)
}

// Delegate makes the planner's own sidecar order the rank at rankAddress to arm.
func (l *Local) Delegate(ctx context.Context, order Order, rankAddress foxtailstack.Address) error {
	return l.Sidecar.Delegate(ctx, order, rankAddress)
}

// serveDelegate sends an order to the rank of another sidecar.
func (s *Sidecar) serveDelegate(w http.ResponseWriter, r *http.Request) {
	var message delegatedOrder
	if !decodeRequest(w, r, &message) {
		return
	}
	err := s.Delegate(r.Context(), message.Order, message.RankAddress)
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Delegate records the order to arm the rank at rankAddress and then sends it
// once. It records the order first because the rank may carry it out although no
// answer arrives, and the switch must not be undone then. It returns ErrFenced if
// the sidecar knows a newer planner, and an OtherGroupError if the order is not for the
// group of its own rank.
func (s *Sidecar) Delegate(ctx context.Context, order Order, rankAddress foxtailstack.Address) error {
	err := s.admit(ctx, order.Group)
	if err != nil {
		return err
	}
	s.mu.Lock()
	fenced := order.Fence < s.planner.Fence
	if !fenced {
		s.armRecord = s.armRecord.afterOrder(order)
	}
	s.mu.Unlock()
	if fenced {
		return ErrFenced
	}
	ctx, cancel := context.WithTimeout(ctx, directOrderTimeout)
	defer cancel()
	err = s.RankAt(rankAddress).Order(ctx, order)
	if err == nil {
		s.mu.Lock()
		s.armRecord.Armed = s.armRecord.covers(order.Formation, order.Map)
		s.mu.Unlock()
	}
	s.Log.Info("order for another rank",
		zap.String("group", string(order.Group)),
		zap.String("rank", string(rankAddress)),
		zap.String("action", string(order.Action)),
		zap.Uint64("map", uint64(order.Map)),
		zap.Uint64("pass", uint64(order.Step)),
		zap.Uint64("formation", uint64(order.Formation)),
		zap.Uint64("fence", uint64(order.Fence)),
		zap.Error(err))
	return err
}

// currentArmRecord returns the arm record of the sidecar.
func (s *Sidecar) currentArmRecord() ArmRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.armRecord
}

// delegateArm makes the sidecars of other ranks, one after the other, order the
// rank beside a map's proposer to arm, until its report shows that it is armed.
// It stops early as orderUntilDone does.
func (s *switcher) delegateArm(
	ctx context.Context,
	order Order,
	lastRank foxtailstack.Rank,
) error {
	order.Fence = s.fence
	order.Formation = s.formation
	order.Group = s.group
	lastMember := s.members[lastRank]
	for {
		for _, rank := range s.otherRanks(lastRank) {
			delegator, ok := s.members[rank].(Delegator)
			if !ok {
				continue
			}
			err := delegator.Delegate(ctx, order, lastMember.Address())
			if isFenced(err) {
				return ErrSuperseded
			}
			if err != nil {
				s.log.Info("order not passed on to another rank", zap.Int("by", int(rank)), zap.Error(err))
			}
			report, err := s.report(ctx, lastMember)
			if errors.Is(err, ErrFormationChanged) {
				return err
			}
			if err == nil && order.doneIn(report) {
				return nil
			}
		}
		if clock.Sleep(ctx, orderRetryInterval) != nil {
			return fmt.Errorf("order to rank %d to %s map %d at pass %d through other sidecars: %w", lastRank, order.Action, order.Map, order.Step, ErrTimeout)
		}
	}
}
