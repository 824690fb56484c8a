package node

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// maxPeersAge is how long the addresses of peers are used.
const maxPeersAge = 30 * time.Second

// peers are the other instances of one role. Since they are asked for seldom,
// the list is read on demand; the last one stays in use while the platform
// gives none.
type peers struct {
	list foxtailstack.InstanceList
	role foxtailstack.Role
	self foxtailstack.InstanceName

	mu        sync.Mutex
	read      time.Time
	addresses []foxtailstack.Address
}

// Addresses returns the addresses of the instances.
func (p *peers) Addresses(ctx context.Context) []foxtailstack.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.list == nil || !p.read.IsZero() && time.Since(p.read) < maxPeersAge {
		return p.addresses
	}
	instances, err := p.list.Instances(ctx)
	if err != nil {
		return p.addresses
	}
	p.addresses = nil
	p.read = time.Now()
	for _, instance := range instances {
		if instance.Role == p.role && instance.Name != p.self {
			p.addresses = append(p.addresses, instance.Address)
		}
	}
	return p.addresses
}
