package group

import "time"

const (
	// treeFanOut is the number of sidecars that a planner or a sidecar calls itself with
	// a message to many. Each of them forwards it to a part of the others, so that the
	// work of one sidecar hardly grows with the group.
	treeFanOut = 16
	// forwardTime is the time that each level of forwarding adds to the timeout of a
	// message.
	forwardTime = 60 * time.Millisecond
)

// branch is a member that a planner calls itself, and the members to which the member's
// sidecar forwards the message.
type branch struct {
	head Member
	rest []Member
}

// members returns all members of the branch.
func (b branch) members() []Member {
	return append([]Member{b.head}, b.rest...)
}

// newTree divides members into branches. At most fanOut of them have a forwarding
// sidecar; members that forward nothing are branches of their own, after those.
func newTree(members []Member, fanOut int) []branch {
	var forwarding, others []Member
	for _, member := range members {
		_, ok := member.(Forwarder)
		if ok {
			forwarding = append(forwarding, member)
		} else {
			others = append(others, member)
		}
	}
	var tree []branch
	for _, part := range split(forwarding, fanOut) {
		tree = append(tree, branch{
			head: part[0],
			rest: part[1:],
		})
	}
	for _, member := range others {
		tree = append(tree, branch{head: member})
	}
	return tree
}

// split divides items into at most n parts, whose lengths differ by at most one.
func split[T any](items []T, n int) [][]T {
	n = min(n, len(items))
	parts := make([][]T, 0, n)
	for i := range n {
		parts = append(parts, items[i*len(items)/n:(i+1)*len(items)/n])
	}
	return parts
}

// treeLevels returns the number of sidecars that forward a message one after the other
// if the first of them is to forward it to n others.
func treeLevels(n int) int {
	if n == 0 {
		return 0
	}
	longest := (n + treeFanOut - 1) / treeFanOut
	return 1 + treeLevels(longest-1)
}

// forwardTimeout returns by how much the timeout of a message that a sidecar is to
// forward to n others is longer than that of one that it does not forward.
func forwardTimeout(n int) time.Duration {
	return time.Duration(treeLevels(n)) * forwardTime
}
