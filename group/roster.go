package group

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// fullQuestionInterval is the minimum time between two questions to all upstreams of a
	// service that may have joined the group, while it lacks a rank.
	fullQuestionInterval = 2 * time.Second
	// slowQuestionInterval replaces it while as many members are known as the group has
	// ranks, so that those that do not answer are probably down.
	slowQuestionInterval = 8 * time.Second
)

// roster caches which group each upstream of a service belongs to, so that
// surveys ask only the ranks of the planner's own group. The zero value is
// empty.
type roster struct {
	groups map[foxtailstack.Address]Name
	// lastFullQuestion is the time of the last question to all upstreams.
	lastFullQuestion time.Time
	// missing holds the members that did not answer the last survey.
	missing map[foxtailstack.Address]bool
	// silent holds the members that did not answer the last question.
	silent map[foxtailstack.Address]bool
	// answers brings the answers to the question that is open; nil if there is none.
	answers chan map[foxtailstack.Address]Name
	// questioned holds those to which it went.
	questioned []Member
}

// restore records members of a group as they were known before. It is no harm if some have
// left it: they refuse to answer the planner and name their group.
func (r *roster) restore(name Name, addresses []foxtailstack.Address) {
	if r.groups == nil {
		r.groups = make(map[foxtailstack.Address]Name)
	}
	for _, address := range addresses {
		r.groups[address] = name
	}
}

// pick returns the members of a group that are known.
func (r *roster) pick(name Name, members []Member) []Member {
	var picked []Member
	for _, member := range members {
		if r.groups[member.Address()] == name {
			picked = append(picked, member)
		}
	}
	return picked
}

// question returns the members to ask for their group so that the ranks of a group of some
// size are found, or none if all are known and the last survey has reached them. First come
// those whose group is unknown, in the order of members and no more than the group has ranks
// at once, last those that did not answer. Now and then all are asked that are not known as
// members of the group. Size zero means that it is not known.
func (r *roster) question(name Name, members []Member, size int, incomplete bool, now time.Time) []Member {
	own := len(r.pick(name, members))
	if size > 0 && own >= size && !incomplete {
		return nil
	}
	interval := fullQuestionInterval
	if size > 0 && own >= size {
		interval = slowQuestionInterval
	}
	var unknown, others []Member
	for _, member := range members {
		group, known := r.groups[member.Address()]
		switch {
		case !known:
			unknown = append(unknown, member)
		case group != name:
			others = append(others, member)
		}
	}
	if incomplete && now.Sub(r.lastFullQuestion) >= interval {
		r.lastFullQuestion = now
		return append(unknown, others...)
	}
	slices.SortStableFunc(unknown, func(a, b Member) int {
		return compareBools(r.silent[a.Address()], r.silent[b.Address()])
	})
	if size > 0 {
		unknown = unknown[:min(len(unknown), max(size, treeFanOut))]
	}
	return unknown
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// ask starts to ask members for their groups unless a question is open. collect takes in
// the answers.
func (r *roster) ask(ctx context.Context, members []Member, fanOut int) {
	if r.answers != nil || len(members) == 0 {
		return
	}
	answers := make(chan map[foxtailstack.Address]Name, 1)
	r.answers = answers
	r.questioned = members
	go func() { answers <- askGroups(ctx, members, fanOut) }()
}

// collect takes in the answers to the open question if they are complete, or once they are
// if wait is set.
func (r *roster) collect(wait bool) {
	if r.answers == nil || !wait && len(r.answers) == 0 {
		return
	}
	answers := <-r.answers
	r.answers = nil
	r.silent = make(map[foxtailstack.Address]bool)
	for _, member := range r.questioned {
		address := member.Address()
		name, ok := answers[address]
		switch {
		case !ok:
			r.silent[address] = true
		case name != "": // a rank without a group may get one soon
			r.restore(name, []foxtailstack.Address{address})
		}
	}
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
// did not answer, and drops upstreams that are no longer members. A rank that reports no
// group keeps the one that is known.
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
		group := reported[address]
		if group == "" {
			group = r.groups[address]
		}
		if group != "" {
			groups[address] = group
		}
	}
	r.groups = groups
}
