package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// countedLimit is when all processes are counted again after a poller has died: once
// the list was read, the new poller has settled and the roots have exchanged summaries.
const countedLimit = nudgeInterval + 5*(listInterval+4*listCost)/4 + settleTime + 2*calmInterval + time.Second

// A process that takes the place of a dead poller is counted at one place only, whoever
// reads the list first: nobody says that more processes have a revision than run.
func TestSpreadCountsOnce(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			defer w.stop()
			w.add("a", foxtailstack.RoleEntry, 4)
			w.add("a", foxtailstack.RoleSidecar, 1)
			w.run()
			w.commit(inForceLimit)
			time.Sleep(20 * time.Second)

			dead := w.pollers("a")[0]
			dead.cancel()
			w.mu.Lock()
			w.list = slices.DeleteFunc(w.list, func(i foxtailstack.Instance) bool { return i.Name == dead.Self.Name })
			running := len(w.list)
			w.mu.Unlock()
			w.checkCounted(w.commit(inForceLimit), running, countedLimit)
		})
	}
}

// checkCounted checks for a while that nobody counts more processes at a revision
// than run, and that all are counted in the end.
func (w *world) checkCounted(revision foxtailstack.Revision, running int, d time.Duration) {
	w.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range w.nodes {
			if got := n.Status(revision).InForce; n.ctx.Err() == nil && got > running {
				w.t.Fatalf("%s counts %d processes at revision %d, but %d run", n.Self.Name, got, revision, running)
			}
		}
	}
	for _, n := range w.nodes {
		if got := n.Status(revision).InForce; n.ctx.Err() == nil && got != running {
			w.t.Errorf("%s counts %d processes at revision %d, want %d", n.Self.Name, got, revision, running)
		}
	}
}
