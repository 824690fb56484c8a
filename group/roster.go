package group

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// rosterPause is the least time between two surveys of all upstreams of a service.
const rosterPause = 2 * time.Second

// roster remembers which group the upstreams of a service belong to, so that a
// planner asks only those of its own in most surveys. The zero value knows none.
type roster struct {
	groups map[foxtailstack.Address]Name
	// whole is when all upstreams were asked last.
	whole time.Time
}

// pick returns the members to ask in a survey of a group: its own and those that
// are not known yet, or all of them if a rank was missing in the last survey.
func (r *roster) pick(name Name, members []Member, missing bool, now time.Time) []Member {
	if missing && now.Sub(r.whole) >= rosterPause {
		r.whole = now
		return members
	}
	var picked []Member
	for _, member := range members {
		group, known := r.groups[member.Address()]
		if !known || group == name {
			picked = append(picked, member)
		}
	}
	return picked
}

// learn takes what the members said in a survey, and drops those that are no
// upstreams any more.
func (r *roster) learn(members []Member, said map[foxtailstack.Address]Name) {
	groups := make(map[foxtailstack.Address]Name, len(members))
	for _, member := range members {
		address := member.Address()
		group, ok := said[address]
		if !ok {
			group, ok = r.groups[address]
		}
		if ok {
			groups[address] = group
		}
	}
	r.groups = groups
}
