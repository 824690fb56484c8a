package group

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// fullSurveyInterval is the minimum time between two surveys of all upstreams
// of a service.
const fullSurveyInterval = 2 * time.Second

// roster caches which group each upstream of a service belongs to, so that most
// surveys ask only the ranks of the planner's own group. The zero value is
// empty.
type roster struct {
	groups map[foxtailstack.Address]Name
	// lastFullSurvey is the time of the last survey of all upstreams.
	lastFullSurvey time.Time
}

// pick returns the members to ask in the next survey of a group: those of the
// group and those whose group is unknown. If the last survey missed a rank, it
// returns all members, at most once in fullSurveyInterval.
func (r *roster) pick(name Name, members []Member, incomplete bool, now time.Time) []Member {
	if incomplete && now.Sub(r.lastFullSurvey) >= fullSurveyInterval {
		r.lastFullSurvey = now
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

// update records the groups that members reported in a survey, and drops
// upstreams that are no longer members.
func (r *roster) update(members []Member, reported map[foxtailstack.Address]Name) {
	groups := make(map[foxtailstack.Address]Name, len(members))
	for _, member := range members {
		address := member.Address()
		group, ok := reported[address]
		if !ok {
			group, ok = r.groups[address]
		}
		if ok {
			groups[address] = group
		}
	}
	r.groups = groups
}
