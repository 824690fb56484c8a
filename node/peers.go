package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// peersInterval is the time between two reads of the list of instances.
	peersInterval = 2 * time.Second
	// peersTimeout bounds one read.
	peersTimeout = 2 * time.Second
)

// peers are the other instances of one role. The last list read stays in use
// while the platform gives none.
type peers struct {
	list    foxtailstack.InstanceList
	role    foxtailstack.Role
	self    foxtailstack.InstanceName
	current atomic.Pointer[[]foxtailstack.Address]
}

// Addresses returns the addresses of the instances.
func (p *peers) Addresses() []foxtailstack.Address {
	current := p.current.Load()
	if current == nil {
		return nil
	}
	return *current
}

// run reads the list until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	for {
		p.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read reads the list once.
func (p *peers) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	instances, err := p.list.Instances(ctx)
	if err != nil {
		return
	}
	var addresses []foxtailstack.Address
	for _, instance := range instances {
		if instance.Role == p.role && instance.Name != p.self {
			addresses = append(addresses, instance.Address)
		}
	}
	p.current.Store(&addresses)
}
