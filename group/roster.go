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
	// missing holds the members that did not answer the last survey.
	missing map[foxtailstack.Address]bool
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

// tree divides the members to ask into branches. Those that did not answer the last
// survey, up to fanOut of them, are branches of their own, so that no others wait for them.
func (r *roster) tree(asked []Member, fanOut int) []branch {
	var answering []Member
	var tree []branch
	for _, member := range asked {
		if r.missing[member.Address()] && len(tree) < fanOut {
			tree = append(tree, branch{head: member})
		} else {
			answering = append(answering, member)
		}
	}
	return append(newTree(answering, fanOut), tree...)
}

// update records the groups that members reported in a survey and which of those asked
// did not answer, and drops upstreams that are no longer members.
func (r *roster) update(members, asked []Member, reported map[foxtailstack.Address]Name) {
	r.missing = make(map[foxtailstack.Address]bool)
	for _, member := range asked {
		_, answered := reported[member.Address()]
		if !answered {
			r.missing[member.Address()] = true
		}
	}
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
