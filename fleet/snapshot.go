package fleet

import (
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

// apply returns the snapshot after a change. A resource that is newer than the
// change stays as it is.
func (s *Snapshot) apply(change Change) (*Snapshot, error) {
	resource := change.Resource
	next := *s
	next.Revision = max(s.Revision, resource.Revision)
	if s.Resources[resource.ID].Version >= resource.Version {
		return &next, nil
	}
	next.Resources = with(s.Resources, resource.ID, resource, true)
	return &next, next.set(resource)
}

// set puts the typed form of a resource into s, whose maps may be shared.
func (s *Snapshot) set(resource Resource) error {
	keep := !resource.Deleted
	var spec Spec
	if keep {
		decoded, err := DecodeSpec(resource.Kind, resource.Spec)
		if err != nil {
			return fmt.Errorf("%s: %w", resource.ID, err)
		}
		spec = decoded
	}
	parts := strings.Split(resource.Name, "/")
	fleet := foxtailstack.FleetName(parts[0])
	switch resource.Kind {
	case KindFleet:
		value, _ := spec.(Fleet)
		s.Fleets = with(s.Fleets, fleet, value, keep)
	case KindTeam:
		value, _ := spec.(Team)
		s.Teams = with(s.Teams, foxtailstack.TeamName(parts[0]), value, keep)
	case KindService:
		value, _ := spec.(Service)
		id := ServiceID{
			Fleet:   fleet,
			Service: foxtailstack.ServiceName(parts[1]),
		}
		s.Services = with(s.Services, id, value, keep)
	case KindPolicy:
		value, _ := spec.(Policy)
		id := PolicyID{
			Fleet:  fleet,
			Policy: foxtailstack.PolicyName(parts[1]),
		}
		s.Policies = with(s.Policies, id, value, keep)
	case KindUpstream:
		value, _ := spec.(Upstream)
		id, err := ParseUpstreamID(resource.Name)
		if err != nil {
			return err
		}
		member := Member{
			ID:       id,
			Upstream: value,
		}
		s.Upstreams = with(s.Upstreams, id.ServiceID, with(s.Upstreams[id.ServiceID], id.Upstream, member, keep), true)
	}
	return nil
}

// with returns a copy of m with the value under key set, or removed.
func with[K comparable, V any](m map[K]V, key K, value V, keep bool) map[K]V {
	copied := maps.Clone(m)
	if copied == nil {
		copied = map[K]V{}
	}
	if keep {
		copied[key] = value
	} else {
		delete(copied, key)
	}
	return copied
}
