package watch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// Decoder reads the rows of the platform's tables.
type Decoder struct {
	// ConfigRow is the name of the row that holds the configuration.
	ConfigRow string
	Config    func(data []byte) (*route.Config, error)
	Upstream  func(name string, data []byte) (route.Upstream, error)
}

// View is what a process believes of the platform. All methods may be called at
// any time; the zero value knows nothing.
type View struct {
	Decoder Decoder
	Log     *zap.Logger
	// OnFleetChange is called after the fleet changed; it may be nil.
	OnFleetChange func()

	config  atomic.Pointer[route.Config]
	fleet   atomic.Pointer[route.Fleet]
	current atomic.Int64

	mu        sync.Mutex
	upstreams map[foxtailstack.UpstreamName]route.Upstream
	strange   map[string]struct{}
}

// Config returns the newest configuration, or nil if none is known.
func (v *View) Config() *route.Config {
	return v.config.Load()
}

// Fleet returns the newest list of upstreams, or nil if none is known.
func (v *View) Fleet() *route.Fleet {
	return v.fleet.Load()
}

// ConfirmConfig records when the configuration was known to be the newest.
func (v *View) ConfirmConfig(at time.Duration) {
	v.current.Store(int64(at))
}

// ConfigAge returns the time since the configuration was known to be the newest.
func (v *View) ConfigAge(now time.Duration) time.Duration {
	return now - time.Duration(v.current.Load())
}

// SetConfig takes the rows of the configuration's table. Older versions than
// the present one, and ones that cannot be read, have no effect.
func (v *View) SetConfig(records []foxtailstack.Record, _ foxtailstack.StoreVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, record := range records {
		if record.Name != v.Decoder.ConfigRow || record.Deleted {
			continue
		}
		cfg, err := v.Decoder.Config(record.Value)
		if err != nil {
			v.skip("configuration", record, err)
			continue
		}
		old := v.config.Load()
		if old != nil && cfg.Version <= old.Version {
			continue
		}
		v.config.Store(cfg)
		v.Log.Info("configuration in force",
			zap.Uint64("config", uint64(cfg.Version)), zap.Uint64("version", uint64(record.Version)))
	}
}

// ReplaceFleet takes all rows of the upstreams' table.
func (v *View) ReplaceFleet(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
	v.mu.Lock()
	v.upstreams = make(map[foxtailstack.UpstreamName]route.Upstream, len(records))
	v.mu.Unlock()
	v.UpdateFleet(records, version)
}

// UpdateFleet takes the rows of the upstreams' table that changed.
func (v *View) UpdateFleet(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
	v.mu.Lock()
	if v.upstreams == nil {
		v.upstreams = make(map[foxtailstack.UpstreamName]route.Upstream)
	}
	for _, record := range records {
		v.update(record)
	}
	list := make([]route.Upstream, 0, len(v.upstreams))
	for _, u := range v.upstreams {
		list = append(list, u)
	}
	v.fleet.Store(route.NewFleet(uint64(version), list))
	v.mu.Unlock()
	if v.OnFleetChange != nil {
		v.OnFleetChange()
	}
}

// update takes one row. The caller holds mu.
func (v *View) update(record foxtailstack.Record) {
	name := foxtailstack.UpstreamName(record.Name)
	old, known := v.upstreams[name]
	if record.Deleted {
		delete(v.upstreams, name)
		if known {
			v.logUpstream("upstream gone", old, record)
		}
		return
	}
	u, err := v.Decoder.Upstream(record.Name, record.Value)
	if err != nil {
		delete(v.upstreams, name)
		v.skip("upstream", record, err)
		return
	}
	v.upstreams[name] = u
	if !known || u != old {
		v.logUpstream("upstream changed", u, record)
	}
}

// logUpstream logs a change of what is believed of an upstream.
func (v *View) logUpstream(message string, u route.Upstream, record foxtailstack.Record) {
	v.Log.Info(message,
		zap.String("upstream", record.Name),
		zap.String("service", string(u.Service)),
		zap.String("address", string(u.Address)),
		zap.Bool("draining", u.Draining),
		zap.Uint64("version", uint64(record.Version)))
}

// maxStrange is the number of rows that are logged as unreadable.
const maxStrange = 100

// skip logs a row that cannot be read, once for each row. The caller holds mu.
func (v *View) skip(what string, record foxtailstack.Record, err error) {
	if v.strange == nil {
		v.strange = make(map[string]struct{})
	}
	_, seen := v.strange[record.Name]
	if seen || len(v.strange) >= maxStrange {
		return
	}
	v.strange[record.Name] = struct{}{}
	v.Log.Warn("row skipped", zap.String("kind", what), zap.String("row", record.Name), zap.Error(err))
}
