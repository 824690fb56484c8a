package group

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

const (
	// saveTimeout bounds the time of one write of the demand estimate to the
	// store.
	saveTimeout = 2 * time.Second
	// demandSuffix is appended to the name of a group to form the name of the
	// row that holds its demand estimate.
	demandSuffix = "/demand"
	// maxWeight is the stored weight of the expert with the highest demand; the
	// weights of the others are relative to it.
	maxWeight = math.MaxUint16
)

// Encode returns the estimate as one 16-bit big-endian number for each expert,
// relative to the highest, or nil if there is no demand.
func (d *Demand) Encode() []byte {
	if len(d.weights) == 0 {
		return nil
	}
	peak := slices.Max(d.weights)
	if peak == 0 {
		return nil
	}
	data := make([]byte, 0, 2*len(d.weights))
	for _, w := range d.weights {
		data = binary.BigEndian.AppendUint16(data, uint16(w/peak*maxWeight))
	}
	return data
}

// Restore sets the estimate to one that Encode returned, so that a new planner
// can plan before it has samples of its own. On a Demand without an estimate, the
// first window of at least minWindowChoices choices replaces it: lastUpdate is zero
// until then, so the restored weights have decayed to nothing. Data of odd length or
// without content is ignored.
func (d *Demand) Restore(data []byte) {
	if len(data) == 0 || len(data)%2 != 0 {
		return
	}
	d.weights = make([]float64, len(data)/2)
	for i := range d.weights {
		d.weights[i] = float64(binary.BigEndian.Uint16(data[2*i:])) / maxWeight
	}
	d.steady = true
}

// demandStore stores the demand estimate of a group in the platform's store,
// where the next planner reads it.
type demandStore struct {
	// rows is used as a plain key-value store: it elects nobody.
	rows foxtailstack.Election
	name string
	log  *zap.Logger
	// version is the version of the row that the next write replaces.
	version foxtailstack.StoreVersion
	// writing is a semaphore that is held during a write and guards version.
	writing chan struct{}
}

// newDemandStore returns the demand store of a group.
func newDemandStore(rows foxtailstack.Election, group Name, log *zap.Logger) *demandStore {
	return &demandStore{
		rows:    rows,
		name:    string(group) + demandSuffix,
		log:     log,
		writing: make(chan struct{}, 1),
	}
}

// load returns the stored estimate, or nil if it cannot be read.
func (s *demandStore) load(ctx context.Context) []byte {
	data, version, err := s.rows.Holder(ctx, s.name)
	if err != nil {
		s.log.Info("demand not recalled", zap.Error(err))
		return nil
	}
	s.version = version
	return data
}

// saveAsync writes data in the background. It does nothing while an earlier
// write is still running.
func (s *demandStore) saveAsync(ctx context.Context, data []byte) {
	select {
	case s.writing <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.writing }()
		ctx, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		s.save(ctx, data)
	}()
}

// save writes data once. After a conflict or a lost answer it reads the version
// in the store, from which the next write starts.
func (s *demandStore) save(ctx context.Context, data []byte) {
	version, err := s.rows.Claim(ctx, s.name, s.version, data)
	if err == nil {
		s.version = version
		return
	}
	s.log.Info("demand not remembered", zap.Error(err))
	if errors.Is(err, foxtailstack.ErrConflict) || errors.Is(err, foxtailstack.ErrUncertain) {
		_, s.version, err = s.rows.Holder(ctx, s.name)
		if err != nil {
			s.log.Info("version of the demand not read", zap.Error(err))
		}
	}
}
