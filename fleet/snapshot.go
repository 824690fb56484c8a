package fleet

import (
	"errors"
	"fmt"
	"maps"
	"strings"

	"github.com/foxtailstack/foxtailstack"
)

// Member is an upstream of a service.
type Member struct {
	ID UpstreamID
	Upstream
}

// Snapshot is the whole configuration at one revision. It never changes.
type Snapshot struct {
	Revision  foxtailstack.Revision
	Fleets    map[foxtailstack.FleetName]Fleet
	Services  map[ServiceID]Service
	Policies  map[PolicyID]Policy
	Teams     map[foxtailstack.TeamName]Team
	Upstreams map[ServiceID]map[foxtailstack.UpstreamName]Member
	Resources map[ID]Resource
}

// builder makes the next snapshot from one that is in force. It copies each map
// once, however many changes there are.
type builder struct {
	next  Snapshot
	owned map[ServiceID]bool
}

// newBuilder returns a builder whose next snapshot shares no map with s, but
// for the upstreams of each service.
func newBuilder(s *Snapshot) *builder {
	return &builder{
		next: Snapshot{
			Revision:  s.Revision,
			Fleets:    clone(s.Fleets),
			Services:  clone(s.Services),
			Policies:  clone(s.Policies),
			Teams:     clone(s.Teams),
			Upstreams: clone(s.Upstreams),
			Resources: clone(s.Resources),
		},
		owned: map[ServiceID]bool{},
	}
}

// apply puts changes into the next snapshot. A resource that is newer than its
// change stays as it is.
func (b *builder) apply(changes []Change) error {
	var errs []error
	for _, change := range changes {
		resource := change.Resource
		if b.next.Resources[resource.ID].Version >= resource.Version {
			continue
		}
		b.next.Resources[resource.ID] = resource
		err := b.set(resource)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", resource.ID, err))
		}
	}
	return errors.Join(errs...)
}

// set puts the typed form of a resource into the next snapshot.
func (b *builder) set(resource Resource) error {
	err := resource.Check()
	if err != nil {
		return err
	}
	keep := !resource.Deleted
	var spec Spec
	if keep {
		spec, err = DecodeSpec(resource.Kind, resource.Spec)
		if err != nil {
			return err
		}
	}
	parts := strings.Split(resource.Name, "/")
	fleet := foxtailstack.FleetName(parts[0])
	switch resource.Kind {
	case KindFleet:
		value, _ := spec.(Fleet)
		put(b.next.Fleets, fleet, value, keep)
	case KindTeam:
		value, _ := spec.(Team)
		put(b.next.Teams, foxtailstack.TeamName(parts[0]), value, keep)
	case KindService:
		value, _ := spec.(Service)
		id := ServiceID{
			Fleet:   fleet,
			Service: foxtailstack.ServiceName(parts[1]),
		}
		put(b.next.Services, id, value, keep)
	case KindPolicy:
		value, _ := spec.(Policy)
		id := PolicyID{
			Fleet:  fleet,
			Policy: foxtailstack.PolicyName(parts[1]),
		}
		put(b.next.Policies, id, value, keep)
	case KindUpstream:
		value, _ := spec.(Upstream)
		return b.setUpstream(resource.Name, value, keep)
	}
	return nil
}

// setUpstream puts an upstream into the next snapshot.
func (b *builder) setUpstream(name string, value Upstream, keep bool) error {
	id, err := ParseUpstreamID(name)
	if err != nil {
		return err
	}
	if !b.owned[id.ServiceID] {
		b.owned[id.ServiceID] = true
		b.next.Upstreams[id.ServiceID] = clone(b.next.Upstreams[id.ServiceID])
	}
	member := Member{
		ID:       id,
		Upstream: value,
	}
	put(b.next.Upstreams[id.ServiceID], id.Upstream, member, keep)
	return nil
}

// put sets the value under key in m, or removes it.
func put[K comparable, V any](m map[K]V, key K, value V, keep bool) {
	if keep {
		m[key] = value
	} else {
		delete(m, key)
	}
}

// clone returns a copy of m that is not nil.
func clone[K comparable, V any](m map[K]V) map[K]V {
	copied := maps.Clone(m)
	if copied == nil {
		copied = map[K]V{}
	}
	return copied
}
