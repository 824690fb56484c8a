package fleet

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/foxtailstack/foxtailstack"
)

// Kind names a kind of resource.
type Kind string

// The kinds of resources.
const (
	KindFleet    Kind = "fleets"
	KindService  Kind = "services"
	KindUpstream Kind = "upstreams"
	KindPolicy   Kind = "policies"
	KindTeam     Kind = "teams"
)

// nameParts is the number of parts in a name of each kind.
var nameParts = map[Kind]int{
	KindFleet:    1,
	KindService:  2,
	KindUpstream: 3,
	KindPolicy:   2,
	KindTeam:     1,
}

// partPattern matches one part of a name.
var partPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ID identifies a resource.
type ID struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// String returns the path of the resource in the API.
func (id ID) String() string {
	return string(id.Kind) + "/" + id.Name
}

// Check returns an error that wraps ErrInvalid if id names no resource.
func (id ID) Check() error {
	n, ok := nameParts[id.Kind]
	if !ok {
		return fmt.Errorf("%w: unknown kind %q", ErrInvalid, id.Kind)
	}
	parts := strings.Split(id.Name, "/")
	if len(parts) != n {
		return fmt.Errorf("%w: name %q of kind %s has %d parts, expected %d", ErrInvalid, id.Name, id.Kind, len(parts), n)
	}
	for _, part := range parts {
		if !partPattern.MatchString(part) {
			return fmt.Errorf("%w: part %q of name %q is not lower-case letters, digits and hyphens", ErrInvalid, part, id.Name)
		}
	}
	return nil
}

// Resource is a resource with its place in the history.
type Resource struct {
	ID
	// Version counts the changes to the resource, deletion included.
	Version foxtailstack.Version `json:"version" cbor:"3,keyasint"`
	// Revision is the revision of the last change.
	Revision foxtailstack.Revision `json:"revision" cbor:"4,keyasint"`
	// Deleted marks the remains of a resource, which keep its version.
	Deleted bool `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
	// Spec is the declared state in JSON.
	Spec json.RawMessage `json:"spec,omitempty" cbor:"6,keyasint,omitempty"`
}

// ServiceID identifies a service of a fleet.
type ServiceID struct {
	Fleet   foxtailstack.FleetName
	Service foxtailstack.ServiceName
}

// String returns the name of the service's resource.
func (id ServiceID) String() string {
	return string(id.Fleet) + "/" + string(id.Service)
}

// PolicyID identifies a policy of a fleet.
type PolicyID struct {
	Fleet  foxtailstack.FleetName
	Policy foxtailstack.PolicyName
}

// UpstreamID identifies an upstream of a service.
type UpstreamID struct {
	ServiceID
	Upstream foxtailstack.UpstreamName
}

// String returns the name of the upstream's resource.
func (id UpstreamID) String() string {
	return id.ServiceID.String() + "/" + string(id.Upstream)
}

// ParseUpstreamID returns the UpstreamID in the name of a resource.
func ParseUpstreamID(name string) (UpstreamID, error) {
	err := ID{
		Kind: KindUpstream,
		Name: name,
	}.Check()
	if err != nil {
		return UpstreamID{}, err
	}
	parts := strings.Split(name, "/")
	return UpstreamID{
		ServiceID: ServiceID{
			Fleet:   foxtailstack.FleetName(parts[0]),
			Service: foxtailstack.ServiceName(parts[1]),
		},
		Upstream: foxtailstack.UpstreamName(parts[2]),
	}, nil
}
