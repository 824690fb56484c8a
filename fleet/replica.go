package fleet

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/foxtailstack/foxtailstack"
)

// Replica holds the configuration that is in force in one process. Its
// revision only rises. The zero value is empty and ready for use.
type Replica struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
	history history
}

// Snapshot returns the configuration in force; it is never nil.
func (r *Replica) Snapshot() *Snapshot {
	snapshot := r.current.Load()
	if snapshot == nil {
		return &Snapshot{}
	}
	return snapshot
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Apply brings changes that follow each other in the log into force, together.
// Changes older than what is in force have no effect. It returns ErrGap, and
// changes nothing, if one is missing between what is in force and the first.
// Other errors are those of resources that do not decode, which keep their
// former state.
func (r *Replica) Apply(changes []Change) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.Snapshot()
	changes = after(changes, snapshot.Revision)
	if len(changes) == 0 {
		return nil
	}
	if first := changes[0].Resource.Revision; first != snapshot.Revision+1 {
		return fmt.Errorf("%w: next is %d, expected %d", ErrGap, first, snapshot.Revision+1)
	}
	b := newBuilder(snapshot)
	err := b.apply(changes)
	b.next.Revision = changes[len(changes)-1].Resource.Revision
	r.history.add(changes)
	r.publish(&b.next)
	return err
}

// Load brings the whole configuration at a revision into force, unless a later
// one is. Some changes may be newer than the revision. The errors are those of
// resources that do not decode.
func (r *Replica) Load(changes []Change, revision foxtailstack.Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.Snapshot()
	if revision <= snapshot.Revision {
		return nil
	}
	b := newBuilder(snapshot)
	err := b.apply(changes)
	b.next.Revision = revision
	r.history = history{}
	r.publish(&b.next)
	return err
}

// Since returns the changes after a revision, or false if they are no longer
// kept.
func (r *Replica) Since(revision foxtailstack.Revision) ([]Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.since(revision, r.Snapshot().Revision)
}

// publish brings a snapshot into force. The caller holds r.mu.
func (r *Replica) publish(snapshot *Snapshot) {
	r.current.Store(snapshot)
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// after returns the changes of a log that come after a revision.
func after(changes []Change, revision foxtailstack.Revision) []Change {
	for i, change := range changes {
		if change.Resource.Revision > revision {
			return changes[i:]
		}
	}
	return nil
}
