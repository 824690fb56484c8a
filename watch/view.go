package watch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// Decoder decodes rows of the platform's configuration and upstream tables.
type Decoder struct {
	// ConfigRow is the name of the row that holds the configuration.
	ConfigRow string
	// Config decodes the value of that row.
	Config func(data []byte) (*route.Config, error)
	// Upstream decodes the row of the upstream with the given name.
	Upstream func(name string, data []byte) (route.Upstream, error)
	// Evacuation returns the data centre that the row with a name orders to evacuate, and
	// false if the row orders none. It may be nil.
	Evacuation func(name string) (foxtailstack.DataCentre, bool)
}

// View holds the newest decoded configuration and fleet. Its methods may be called
// concurrently. The zero value has neither a configuration nor a fleet; Decoder and
// Log must be set before rows are passed to it.
type View struct {
	Decoder Decoder
	Log     *zap.Logger
	// Regions holds the region of each data centre. It may be nil.
	Regions map[foxtailstack.DataCentre]foxtailstack.Region
	// OnFleetChange is called after each call of ReplaceFleet or UpdateFleet, also if
	// no upstream changed, and after each change of the configuration or of the data centres that are evacuated. It may be nil.
	OnFleetChange func()

	config atomic.Pointer[route.Config]
	fleet  atomic.Pointer[route.Fleet]
	// configConfirmedAt is the time of the last confirmation in nanoseconds since the
	// machine booted; zero if there was none.
	configConfirmedAt atomic.Int64

	mu        sync.Mutex
	upstreams map[foxtailstack.UpstreamName]route.Upstream
	// leaving holds the starts of the upstreams that were draining or said that they
	// leave. A start that has left once does not come back, whatever an older row says.
	leaving map[foxtailstack.UpstreamName]departure
	// evacuated holds the times since which data centres are evacuated, as far as known
	// here.
	evacuated map[foxtailstack.DataCentre]time.Time
	// version is that of the newest rows of the upstream table.
	version foxtailstack.StoreVersion
	// unreadable holds the names of the rows already logged as unreadable, of both
	// tables. It is never cleared: a row that becomes readable and then unreadable again
	// is not logged again. Known limitation: the names of both tables share this map, so
	// an unreadable upstream row named like ConfigRow keeps an unreadable configuration
	// from being logged.
	unreadable map[string]struct{}
}

// Config returns the newest configuration, or nil if none has been received.
func (v *View) Config() *route.Config {
	return v.config.Load()
}

// Fleet returns the newest list of upstreams, or nil, which is an empty fleet, if none
// has been received.
func (v *View) Fleet() *route.Fleet {
	return v.fleet.Load()
}

// ConfirmConfig records that all rows of the configuration table written before at,
// counted since the machine booted, have been received. The configuration in use can
// still be an older one if the newest row could not be decoded.
func (v *View) ConfirmConfig(at time.Duration) {
	v.configConfirmedAt.Store(int64(at))
}

// ConfigConfirmed returns the time at which the configuration was last confirmed, counted
// since the machine booted; zero if it never was.
func (v *View) ConfigConfirmed() time.Duration {
	return time.Duration(v.configConfirmedAt.Load())
}

// ConfigAge returns how long ago, at now, the configuration was last confirmed. now is
// counted since the machine booted, and is returned if there was no confirmation.
func (v *View) ConfigAge(now time.Duration) time.Duration {
	return now - time.Duration(v.configConfirmedAt.Load())
}

// ReplaceConfig applies records, all rows of the configuration table. An evacuation whose
// row is missing from them has been taken back.
func (v *View) ReplaceConfig(records []foxtailstack.Record, _ foxtailstack.StoreVersion) {
	v.setEvacuated(v.orderedEvacuations(records))
	v.setConfig(records)
}

// SetConfig applies records, changed rows of the configuration table. It keeps the present
// configuration if the new one has no higher version, cannot be decoded or has been
// deleted. Evacuations are known before a configuration that comes with them is in force.
func (v *View) SetConfig(records []foxtailstack.Record, _ foxtailstack.StoreVersion) {
	v.setEvacuated(v.changedEvacuations(records))
	v.setConfig(records)
}

// setConfig stores the newest configuration in records, and tells of a change.
func (v *View) setConfig(records []foxtailstack.Record) {
	before := v.config.Load()
	v.storeConfig(records)
	if v.config.Load() != before && v.OnFleetChange != nil {
		v.OnFleetChange()
	}
}

// storeConfig stores the newest configuration in records.
func (v *View) storeConfig(records []foxtailstack.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, record := range records {
		if record.Name != v.Decoder.ConfigRow || record.Deleted {
			continue
		}
		cfg, err := v.Decoder.Config(record.Value)
		if err != nil {
			v.logUnreadable("configuration", record, err)
			continue
		}
		current := v.config.Load()
		if current != nil && cfg.Version <= current.Version {
			continue
		}
		v.config.Store(cfg)
		v.Log.Info("configuration in force",
			zap.Uint64("config", uint64(cfg.Version)), zap.Uint64("version", uint64(record.Version)))
	}
}

// ReplaceFleet replaces the fleet by records, all rows of the upstream table.
func (v *View) ReplaceFleet(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
	v.mu.Lock()
	v.upstreams = make(map[foxtailstack.UpstreamName]route.Upstream, len(records))
	v.mu.Unlock()
	v.UpdateFleet(records, version)
}

// UpdateFleet applies records, changed rows of the upstream table, to the fleet.
func (v *View) UpdateFleet(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
	v.mu.Lock()
	if v.upstreams == nil {
		v.upstreams = make(map[foxtailstack.UpstreamName]route.Upstream)
	}
	for _, record := range records {
		v.applyRow(record)
	}
	v.version = version
	v.storeFleet()
	v.mu.Unlock()
	if v.OnFleetChange != nil {
		v.OnFleetChange()
	}
}

// storeFleet stores the fleet of the present upstreams. The caller holds mu.
func (v *View) storeFleet() {
	upstreams := make([]route.Upstream, 0, len(v.upstreams))
	for _, u := range v.upstreams {
		u.Draining = u.Draining || v.hasLeft(u)
		u.Region = v.Regions[u.Centre]
		_, u.Evacuated = v.evacuated[u.Centre]
		upstreams = append(upstreams, u)
	}
	v.fleet.Store(route.NewFleet(uint64(v.version), upstreams))
}

// applyRow applies one row of the upstream table. A row that cannot be decoded
// removes its upstream: other writers may put rows into the table, so the row that the
// name now has need not describe an upstream. The caller holds mu.
func (v *View) applyRow(record foxtailstack.Record) {
	name := foxtailstack.UpstreamName(record.Name)
	old, existed := v.upstreams[name]
	if record.Deleted {
		delete(v.upstreams, name)
		if existed {
			v.logUpstream("upstream gone", old, record)
		}
		return
	}
	u, err := v.Decoder.Upstream(record.Name, record.Value)
	if err != nil {
		delete(v.upstreams, name)
		v.logUnreadable("upstream", record, err)
		return
	}
	if u.ColdFor > 0 {
		u.ColdUntil = time.Now().Add(u.ColdFor)
	}
	v.upstreams[name] = u
	if u.Draining {
		v.recordLeaving(u)
	}
	if !existed || !u.SameAs(old) {
		v.logUpstream("upstream changed", u, record)
	}
}

// logUpstream logs that the upstream u was added, changed or removed by record.
func (v *View) logUpstream(message string, u route.Upstream, record foxtailstack.Record) {
	v.Log.Info(message,
		zap.String("upstream", record.Name),
		zap.String("service", string(u.Service)),
		zap.String("address", string(u.Address)),
		zap.Bool("draining", u.Draining),
		zap.Int64("start", u.StartUnixMilli),
		zap.Uint64("version", uint64(record.Version)))
}

// maxUnreadableLogged bounds the number of rows that are logged as unreadable.
const maxUnreadableLogged = 100

// logUnreadable logs a row that cannot be decoded, once for each row name. The
// caller holds mu.
func (v *View) logUnreadable(kind string, record foxtailstack.Record, err error) {
	if v.unreadable == nil {
		v.unreadable = make(map[string]struct{})
	}
	_, logged := v.unreadable[record.Name]
	if logged || len(v.unreadable) >= maxUnreadableLogged {
		return
	}
	v.unreadable[record.Name] = struct{}{}
	v.Log.Warn("row skipped", zap.String("kind", kind), zap.String("row", record.Name), zap.Error(err))
}
