package fleet

import "github.com/foxtailstack/foxtailstack"

// maxHistory is the size of the specs that a process keeps for those that lag,
// in bytes, with changeOverhead for each change.
const (
	maxHistory     = 4 << 20
	changeOverhead = 256
)

// history holds the last changes in the order of their revisions, without gaps.
type history struct {
	changes []Change
	size    int
}

// add appends changes that follow the last one and drops the oldest.
func (h *history) add(changes []Change) {
	h.changes = append(h.changes, changes...)
	for _, change := range changes {
		h.size += changeOverhead + len(change.Resource.Spec)
	}
	drop := 0
	for h.size > maxHistory {
		h.size -= changeOverhead + len(h.changes[drop].Resource.Spec)
		drop++
	}
	if drop > 0 {
		h.changes = append([]Change(nil), h.changes[drop:]...)
	}
}

// since returns the changes after a revision up to the one in force, or false
// if the history does not reach back far enough.
func (h *history) since(revision, inForce foxtailstack.Revision) ([]Change, bool) {
	if revision >= inForce {
		return nil, true
	}
	n := int(inForce - revision)
	if n > len(h.changes) {
		return nil, false
	}
	return h.changes[len(h.changes)-n:], true
}
