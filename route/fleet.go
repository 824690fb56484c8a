package route

import (
	"sort"

	"github.com/foxtailstack/foxtailstack"
)

// Upstream is one upstream as it tells of itself.
type Upstream struct {
	// Name changes with most starts of an upstream.
	Name    foxtailstack.UpstreamName
	Service foxtailstack.ServiceName
	Address foxtailstack.Address
	Centre  foxtailstack.DataCentre
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// StartUnixMilli is the Unix time of its start in milliseconds, or zero if not told.
	StartUnixMilli int64
}

// Fleet is the list of upstreams at one moment. It is immutable.
type Fleet struct {
	// Revision is the version of the platform's list.
	Revision  uint64
	upstreams map[foxtailstack.UpstreamName]Upstream
	services  map[foxtailstack.ServiceName][]Upstream // ready ones only
}

// NewFleet returns the fleet of the given upstreams. Of several at one address only
// the one that started last takes requests: the others are gone and have not been
// taken off the list yet.
func NewFleet(revision uint64, upstreams []Upstream) *Fleet {
	f := &Fleet{
		Revision:  revision,
		upstreams: make(map[foxtailstack.UpstreamName]Upstream, len(upstreams)),
		services:  make(map[foxtailstack.ServiceName][]Upstream),
	}
	newest := make(map[foxtailstack.Address]int64, len(upstreams))
	for _, u := range upstreams {
		newest[u.Address] = max(newest[u.Address], u.StartUnixMilli)
	}
	for _, u := range upstreams {
		f.upstreams[u.Name] = u
		if !u.Draining && u.StartUnixMilli == newest[u.Address] {
			f.services[u.Service] = append(f.services[u.Service], u)
		}
	}
	for _, list := range f.services {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	return f
}

// Ready returns the upstreams of a service that take requests. The caller must
// not change them. A nil Fleet has none.
func (f *Fleet) Ready(service foxtailstack.ServiceName) []Upstream {
	if f == nil {
		return nil
	}
	return f.services[service]
}

// All returns the upstreams of a service, draining or not, in no order.
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

// Lookup returns an upstream by its name, draining or not.
func (f *Fleet) Lookup(name foxtailstack.UpstreamName) (Upstream, bool) {
	if f == nil {
		return Upstream{}, false
	}
	u, ok := f.upstreams[name]
	return u, ok
}

// Len returns the number of upstreams.
func (f *Fleet) Len() int {
	if f == nil {
		return 0
	}
	return len(f.upstreams)
}
