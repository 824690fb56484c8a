package fleet

import (
	"errors"
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

// Apply brings changes into force, together, and raises the revision to at
// least the given one. Changes older than what is in force have no effect. The
// errors are those of resources that do not decode; the others are in force.
func (r *Replica) Apply(changes []Change, atLeast foxtailstack.Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.Snapshot()
	before := snapshot.Revision
	var errs []error
	for _, change := range changes {
		next, err := snapshot.apply(change)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		snapshot = next
	}
	if atLeast > snapshot.Revision {
		raised := *snapshot
		raised.Revision = atLeast
		snapshot = &raised
	}
	r.current.Store(snapshot)
	if snapshot.Revision > before && r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	return errors.Join(errs...)
}
