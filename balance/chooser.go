package balance

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
)

// Chooser picks an upstream of a service at random. It is an entry.Chooser.
type Chooser struct {
	Replica *fleet.Replica
}

// Choose returns an upstream that takes new work, preferably an untried one.
func (c *Chooser) Choose(_ context.Context, q entry.Query) (fleet.Member, bool) {
	var fresh, tried []fleet.Member
	for _, member := range c.Replica.Snapshot().Upstreams[q.Service] {
		switch {
		case member.Drain:
		case slices.Contains(q.Tried, member.ID.Upstream):
			tried = append(tried, member)
		default:
			fresh = append(fresh, member)
		}
	}
	if len(fresh) == 0 {
		fresh = tried
	}
	if len(fresh) == 0 {
		return fleet.Member{}, false
	}
	return fresh[rand.IntN(len(fresh))], true
}

// Report tells how the attempt on a chosen upstream went.
func (c *Chooser) Report(fleet.Member, entry.Result) {}
