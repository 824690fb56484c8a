package foxtailstack

import "context"

// Role says what a process of the system does.
type Role string

const (
	// RoleEntry is the role of a process that takes callers' requests.
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
	// Leaving is set once the platform plans to stop the instance.
	Leaving bool
}

// InstanceList is the platform's list of live and leaving instances, which lags.
type InstanceList interface {
	// Instances returns the instances that the platform lists now.
	Instances(ctx context.Context) ([]Instance, error)
}
