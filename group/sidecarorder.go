package group

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

// serveOrder forwards an order to the rank.
func (s *Sidecar) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !decodeRequest(w, r, &order) {
		return
	}
	err := s.Order(r.Context(), order)
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Order forwards an order to the rank, unless the sidecar has heard from a
// newer planner or the order is not for the rank's group. After an order to prepare it
// waits until the rank has prepared the map.
func (s *Sidecar) Order(ctx context.Context, order Order) error {
	err := s.admit(ctx, order.Group)
	if err != nil {
		return err
	}
	s.mu.Lock()
	newestFence := s.planner.Fence
	if order.Fence >= newestFence {
		s.lastHeard = time.Now()
		s.switching = order.Action == Prepare || order.Action == Arm
	}
	s.mu.Unlock()
	if order.Fence < newestFence {
		return ErrFenced
	}
	order, err = s.recordPrepare(order)
	if err == nil {
		err = s.orderWithRetry(ctx, order)
	}
	if err == nil && order.Action == Prepare {
		err = s.awaitPrepared(ctx, order.Map)
	}
	ordersTotal.Inc()
	s.Log.Info("order",
		zap.String("group", string(order.Group)),
		zap.String("action", string(order.Action)),
		zap.Uint64("map", uint64(order.Map)),
		zap.Uint64("pass", uint64(order.Step)),
		zap.Uint64("formation", uint64(order.Formation)),
		zap.Uint64("fence", uint64(order.Fence)),
		zap.Error(err))
	return err
}

// orderWithRetry sends an order to the rank, and again if there is no answer.
// The rank runs on the same machine and answers within milliseconds if at all.
func (s *Sidecar) orderWithRetry(ctx context.Context, order Order) error {
	var err error
	for range localAttempts {
		err = s.orderOnce(ctx, order)
		if err == nil || errors.Is(err, ErrStateMismatch) || errors.Is(err, ErrFenced) || errors.Is(err, ErrRejected) {
			return err
		}
	}
	return err
}

// orderOnce sends an order to the rank once.
func (s *Sidecar) orderOnce(ctx context.Context, order Order) error {
	timeout := localOrderTimeout
	if order.Action == Prepare {
		timeout = localMapTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Rank.Order(ctx, order)
}

// awaitPrepared waits until the rank has prepared a map, for at most
// localPrepareTimeout. This spares the planner from polling.
func (s *Sidecar) awaitPrepared(ctx context.Context, version foxtailstack.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, localPrepareTimeout)
	defer cancel()
	for clock.Sleep(ctx, preparePollInterval) == nil {
		report, err := s.Rank.Report(ctx)
		if err == nil && report.Prepared == version {
			return nil
		}
	}
	return ErrTimeout
}

// recordPrepare sets the layers of an order to prepare, from its patch if it has
// no layers, caches the map and resets the arm record for it. It returns
// ErrUnknownBase if the layers cannot be set. It does nothing to other orders.
func (s *Sidecar) recordPrepare(order Order) (Order, error) {
	if order.Action != Prepare {
		return order, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	layers, ok := s.maps.fullLayers(order)
	if !ok {
		return order, ErrUnknownBase
	}
	s.maps.add(order.Formation, order.Map, layers)
	s.armRecord = s.armRecord.afterPrepare(order)
	order.Layers = layers
	return order, nil
}
