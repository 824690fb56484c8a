package foxtailstack

import "context"

// Role is the function in the system of the process that runs on an instance.
type Role string

const (
	// RoleEntry is the role of a process that accepts requests from callers.
	RoleEntry Role = "entry"
	// RoleSidecar is the role of the process beside an upstream.
	RoleSidecar Role = "sidecar"
)

// Instance is one entry in the platform's list of instances.
type Instance struct {
	Name    InstanceName
	Role    Role
	Address Address
	Centre  DataCentre
	Region  Region
	// Leaving is set once the platform has scheduled the instance to be stopped.
	Leaving bool
}

// InstanceList is the platform's list of live and leaving instances. It lags behind
// the actual state.
type InstanceList interface {
	// Instances returns the present list.
	Instances(ctx context.Context) ([]Instance, error)
}
