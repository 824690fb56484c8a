package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// minCacheAge is the shortest time between two reads of the list.
	minCacheAge = 2 * time.Second
	// ageOfInstance is the time between two reads for each instance in the list.
	// An instance takes some 150 bytes, so that a process spends at most 1.5 KB a
	// second on a long list.
	ageOfInstance = 100 * time.Millisecond
	// cacheJitter is the share by which the time between two reads varies.
	cacheJitter = 0.2
)

// Cache is a foxtailstack.InstanceList that all parts of a process share. It
// reads the list behind it the more seldom the longer that is, and an empty one
// each time, since a system that starts is on it soon.
type Cache struct {
	// List is the list of the platform.
	List foxtailstack.InstanceList

	mu        sync.Mutex
	expires   time.Time
	instances []foxtailstack.Instance
}

// Instances returns the list as read last, or reads it again if that was too
// long ago. A list that cannot be had is an error each time. The caller must not
// change what it returns.
func (c *Cache) Instances(ctx context.Context) ([]foxtailstack.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.instances, nil
	}
	instances, err := c.List.Instances(ctx)
	if err != nil {
		return nil, err
	}
	if len(instances) == 0 {
		return nil, nil
	}
	age := max(minCacheAge, time.Duration(len(instances))*ageOfInstance)
	spread := 1 - cacheJitter*rand.Float64()
	c.instances = instances
	c.expires = time.Now().Add(time.Duration(float64(age) * spread))
	return instances, nil
}
