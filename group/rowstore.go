package group

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

// saveTimeout bounds the time of one write to the store.
const saveTimeout = 2 * time.Second

// Suffixes that are appended to the name of a group to form the names of the rows that hold
// its demand estimate and the addresses of its members.
const (
	demandSuffix  = "/demand"
	membersSuffix = "/members"
)

// rowStore stores what the next planner of a group reads in a row of the platform's store.
type rowStore struct {
	// rows is used as a plain key-value store: it elects nobody.
	rows foxtailstack.Election
	name string
	log  *zap.Logger
	// version is the version of the row that the next write replaces.
	version foxtailstack.StoreVersion
	// writing is a semaphore that is held during a write and guards version.
	writing chan struct{}
}

// newRowStore returns the store of the row of a group with a suffix to its name.
func newRowStore(rows foxtailstack.Election, group Name, suffix string, log *zap.Logger) *rowStore {
	return &rowStore{
		rows:    rows,
		name:    string(group) + suffix,
		log:     log,
		writing: make(chan struct{}, 1),
	}
}

// load returns the stored value, or nil if it cannot be read.
func (s *rowStore) load(ctx context.Context) []byte {
	data, version, err := s.rows.Holder(ctx, s.name)
	if err != nil {
		s.log.Info("row of the group not read", zap.String("row", s.name), zap.Error(err))
		return nil
	}
	s.version = version
	return data
}

// saveAsync writes data in the background. It does nothing while an earlier
// write is still running.
func (s *rowStore) saveAsync(ctx context.Context, data []byte) {
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
func (s *rowStore) save(ctx context.Context, data []byte) {
	version, err := s.rows.Claim(ctx, s.name, s.version, data)
	if err == nil {
		s.version = version
		return
	}
	s.log.Info("row of the group not written", zap.String("row", s.name), zap.Error(err))
	if errors.Is(err, foxtailstack.ErrConflict) || errors.Is(err, foxtailstack.ErrUncertain) {
		_, s.version, err = s.rows.Holder(ctx, s.name)
		if err != nil {
			s.log.Info("version of the group's row not read", zap.String("row", s.name), zap.Error(err))
		}
	}
}

// encodeMembers returns the encoding of the addresses of members.
func encodeMembers(addresses []foxtailstack.Address) []byte {
	data, err := encode(addresses)
	if err != nil {
		return nil // never happens: addresses are strings
	}
	return data
}

// decodeMembers returns the addresses that encodeMembers encoded, or none if the data is
// empty or not valid.
func decodeMembers(data []byte) []foxtailstack.Address {
	var addresses []foxtailstack.Address
	err := decode(bytes.NewReader(data), &addresses)
	if err != nil {
		return nil
	}
	return addresses
}
