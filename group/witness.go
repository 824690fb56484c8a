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

// pathVouch is the path of orders that a sidecar gives to the rank of another.
const pathVouch = "/vouch"

// ArmRecord is what a sidecar knows of the rank beside the maker of a map, which is
// armed last, and only by the sidecars of other ranks. If the maker's machine
// stands still, its rank cannot be asked; but if no other sidecar has given it the
// order, it is not armed. The zero value is that of a sidecar that has started
// since and knows nothing.
type ArmRecord struct {
	Formation Formation `cbor:"1,keyasint"`
	// Map is the newest map that the sidecar has had its own rank prepare.
	Map foxtailstack.Epoch `cbor:"2,keyasint"`
	// Ordered tells that the sidecar has ordered the maker's rank to arm for that
	// map, Armed that the rank has carried it out.
	Ordered bool `cbor:"3,keyasint,omitempty"`
	Armed   bool `cbor:"4,keyasint,omitempty"`
}

// knows reports whether the sidecar has been there since it had its rank prepare
// a map.
func (w ArmRecord) knows(formation Formation, version foxtailstack.Epoch) bool {
	return w.Formation == formation && w.Map == version
}

// prepared returns what is known after an order to prepare.
func (w ArmRecord) prepared(order Order) ArmRecord {
	if w.Formation == order.Formation && w.Map >= order.Map {
		return w
	}
	return ArmRecord{
		Formation: order.Formation,
		Map:       order.Map,
	}
}

// ordered returns what is known when another rank is about to be told to arm.
func (w ArmRecord) ordered(order Order) ArmRecord {
	return ArmRecord{
		Formation: order.Formation,
		Map:       order.Map,
		Ordered:   true,
		Armed:     w.knows(order.Formation, order.Map) && w.Armed,
	}
}

// Delegator is a member whose sidecar gives orders to the ranks of others and
// remembers that.
type Delegator interface {
	// Delegate has the sidecar order another rank to arm.
	Delegate(ctx context.Context, order Order, rank foxtailstack.Address) error
}

// vouched is an order to be given to another rank.
type vouched struct {
	Order Order                `cbor:"1,keyasint"`
	Rank  foxtailstack.Address `cbor:"2,keyasint"`
}

// Delegate has the sidecar order another rank to arm.
func (p *Peer) Delegate(ctx context.Context, order Order, rank foxtailstack.Address) error {
	return p.call(ctx, http.MethodPost, pathVouch, vouched{
		Order: order,
		Rank:  rank,
	}, nil)
}

// Delegate orders another rank to arm.
func (l *Local) Delegate(ctx context.Context, order Order, rank foxtailstack.Address) error {
	return l.Sidecar.Delegate(ctx, order, rank)
}

// serveVouch gives an order to the rank of another sidecar.
func (s *Sidecar) serveVouch(w http.ResponseWriter, r *http.Request) {
	var message vouched
	if !accept(w, r, &message) {
		return
	}
	err := s.Delegate(r.Context(), message.Order, message.Rank)
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Delegate orders another rank to arm, once, and remembers that. The rank may carry
// the order out though there is no answer.
func (s *Sidecar) Delegate(ctx context.Context, order Order, rank foxtailstack.Address) error {
	s.mu.Lock()
	fenced := order.Fence < s.planner.Fence
	if !fenced {
		s.witness = s.witness.ordered(order)
	}
	s.mu.Unlock()
	if fenced {
		return ErrFenced
	}
	ctx, cancel := context.WithTimeout(ctx, localOrderTimeout)
	defer cancel()
	err := s.RankAt(rank).Order(ctx, order)
	if err == nil {
		s.mu.Lock()
		s.witness.Armed = s.witness.knows(order.Formation, order.Map)
		s.mu.Unlock()
	}
	s.Log.Info("order for another rank",
		zap.String("rank", string(rank)),
		zap.String("action", string(order.Action)),
		zap.Uint64("map", uint64(order.Map)),
		zap.Uint64("pass", uint64(order.Step)),
		zap.Uint64("formation", uint64(order.Formation)),
		zap.Uint64("fence", uint64(order.Fence)),
		zap.Error(err))
	return err
}

// testify returns what the sidecar knows of the rank beside a map's maker.
func (s *Sidecar) testify() ArmRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witness
}

// vouch has the sidecars of other ranks, one after the other, order the rank
// beside a map's maker to arm, until its report shows that it has.
func (s *switcher) vouch(
	ctx context.Context,
	order Order,
	last foxtailstack.Rank,
	armed func(Report) bool,
) error {
	order.Fence = s.fence
	order.Formation = s.formation
	target := s.members[last]
	for {
		for _, rank := range s.others(last) {
			voucher, ok := s.members[rank].(Delegator)
			if !ok {
				continue
			}
			err := voucher.Delegate(ctx, order, target.Address())
			if isFenced(err) {
				return ErrSuperseded
			}
			if err != nil {
				s.log.Info("order not passed on to another rank", zap.Int("by", int(rank)), zap.Error(err))
			}
			report, err := s.report(ctx, target)
			if errors.Is(err, ErrFormationChanged) {
				return err
			}
			if err == nil && armed(report) {
				return nil
			}
		}
		if clock.Sleep(ctx, orderPause) != nil {
			return fmt.Errorf("%s %d at pass %d by others: %w", order.Action, order.Map, order.Step, ErrTimeout)
		}
	}
}
