package route

import (
	"iter"
	"maps"
	"sort"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Upstream describes an upstream as it announces itself.
type Upstream struct {
	// Name differs after most restarts of an upstream.
	Name    foxtailstack.UpstreamName
	Service foxtailstack.ServiceName
	Address foxtailstack.Address
	Centre  foxtailstack.DataCentre
	// Region is the region of the data centre; empty if it is not known.
	Region foxtailstack.Region
	// Evacuated is set while the operators want nothing sent to the data centre. The
	// upstream goes on with what it runs, and a rank takes part in the passes of its group.
	Evacuated bool
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Draining upstreams accept no new requests.
	Draining bool
	// StartUnixMilli is the Unix time in milliseconds at which the upstream started;
	// zero if it does not announce it.
	StartUnixMilli int64
	// ColdFor is how much longer the upstream was cold when it wrote that it was. ColdUntil
	// is the time at which that ends, at the latest, from when this was read.
	ColdFor   time.Duration
	ColdUntil time.Time
}

// SameAs reports whether an upstream says the same as another, but for how much longer it is
// cold.
func (u Upstream) SameAs(other Upstream) bool {
	u.ColdFor, other.ColdFor = 0, 0
	u.ColdUntil, other.ColdUntil = time.Time{}, time.Time{}
	return u == other
}

// Fleet is the list of upstreams at one moment. It is immutable.
type Fleet struct {
	// StoreVersion is the foxtailstack.StoreVersion of the platform's list that the
	// Fleet was made from.
	StoreVersion   uint64
	upstreams      map[foxtailstack.UpstreamName]Upstream
	readyByService map[foxtailstack.ServiceName][]Upstream // ready ones only
	// latestStart is the latest StartUnixMilli of the upstreams at an address.
	latestStart map[foxtailstack.Address]int64
	// evacuated is set if an upstream is Evacuated.
	evacuated bool
}

// NewFleet returns the fleet of the given upstreams. Of several with the same
// address only the one that started last counts as ready: the others have stopped
// but have not been removed from the platform's list yet. Upstreams with an equal
// start, such as those that announce none, all count as ready. If the one that started
// last is draining, none at its address is ready.
func NewFleet(storeVersion uint64, upstreams []Upstream) *Fleet {
	f := &Fleet{
		StoreVersion:   storeVersion,
		upstreams:      make(map[foxtailstack.UpstreamName]Upstream, len(upstreams)),
		readyByService: make(map[foxtailstack.ServiceName][]Upstream),
		latestStart:    make(map[foxtailstack.Address]int64, len(upstreams)),
	}
	for _, u := range upstreams {
		f.latestStart[u.Address] = max(f.latestStart[u.Address], u.StartUnixMilli)
	}
	for _, u := range upstreams {
		f.upstreams[u.Name] = u
		f.evacuated = f.evacuated || u.Evacuated
		if !u.Draining && u.StartUnixMilli == f.latestStart[u.Address] {
			f.readyByService[u.Service] = append(f.readyByService[u.Service], u)
		}
	}
	for _, list := range f.readyByService {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	return f
}

// Ready returns the upstreams of a service that accept requests, in the order of
// their names. The caller must not modify the slice. A nil Fleet has no upstreams.
func (f *Fleet) Ready(service foxtailstack.ServiceName) []Upstream {
	if f == nil {
		return nil
	}
	return f.readyByService[service]
}

// Upstreams returns all upstreams, also the draining ones, in no particular order.
func (f *Fleet) Upstreams() iter.Seq[Upstream] {
	if f == nil {
		return func(func(Upstream) bool) {}
	}
	return maps.Values(f.upstreams)
}

// All returns all upstreams of a service, also the draining ones, in no particular
// order.
func (f *Fleet) All(service foxtailstack.ServiceName) []Upstream {
	if f == nil {
		return nil
	}
	var all []Upstream
	for _, u := range f.upstreams {
		if u.Service == service {
			all = append(all, u)
		}
	}
	return all
}

// Lookup returns the upstream with a name, also if it is draining.
func (f *Fleet) Lookup(name foxtailstack.UpstreamName) (Upstream, bool) {
	if f == nil {
		return Upstream{}, false
	}
	u, ok := f.upstreams[name]
	return u, ok
}

// StartedAfter reports whether an upstream announces a later start than u did, at the
// address of u: the process of u has ended. It returns false if u announced no start.
func (f *Fleet) StartedAfter(u Upstream) bool {
	return f != nil && u.StartUnixMilli > 0 && f.latestStart[u.Address] > u.StartUnixMilli
}

// Evacuated reports whether an upstream is in a data centre that is evacuated.
func (f *Fleet) Evacuated() bool {
	return f != nil && f.evacuated
}

// EvacuatedCentres returns the data centres of upstreams that are evacuated.
func (f *Fleet) EvacuatedCentres() map[foxtailstack.DataCentre]bool {
	centres := make(map[foxtailstack.DataCentre]bool)
	for _, u := range f.upstreams {
		if u.Evacuated {
			centres[u.Centre] = true
		}
	}
	return centres
}

// Len returns the number of upstreams.
func (f *Fleet) Len() int {
	if f == nil {
		return 0
	}
	return len(f.upstreams)
}
