package machine

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/route"
	"github.com/google/go-cmp/cmp"
)

// maxEraDelay is the time within which an entry is right again after the store has come back
// from an older copy.
const maxEraDelay = 3 * time.Second

// putConfig writes a configuration as the operator does.
func (s *crashSystem) putConfig(version int, keys ...string) {
	row := standin.ConfigRow(version, keys...)
	s.store.Rows.Put(standin.Row{
		Table: platform.TableConfig,
		Key:   row.Name,
		Value: row.Value,
	})
}

// allKnow reports whether all entries know a crash.
func (s *crashSystem) allKnow(c quarantine.Crash) bool {
	for _, entry := range s.entries {
		if !entry.crashes.List.Has(c) {
			return false
		}
	}
	return true
}

// stored reports whether the store holds a row of a crash.
func (s *crashSystem) stored(t *testing.T, c quarantine.Crash) bool {
	t.Helper()
	records, _, err := platform.NewStore(s.url).Read(t.Context(), platform.TableCrashes)
	if err != nil {
		t.Fatal("read crashes:", err)
	}
	return slices.ContainsFunc(records, func(r foxtailstack.Record) bool {
		return strings.Contains(r.Name, c.Fingerprint.String())
	})
}

// sendWithKey sends a request with a key to an entry and returns the status.
func (s *crashSystem) sendWithKey(i int, key string) int {
	url := "http://" + s.entries[i].callerListener.Addr().String() + "/lookup/x"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("question"))
	if err != nil {
		return 0
	}
	request.Host = standin.ConfigHost
	request.Header = standin.CallerHeader("key", key, time.Second)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// await waits until a condition holds, for maxEraDelay at most.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > maxEraDelay {
			t.Fatalf("%s: not within %s", what, maxEraDelay)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%s after %s", what, time.Since(began).Round(time.Millisecond))
}

// Guards against what goes back when the store does: a key that was withdrawn, an upstream
// that was draining, crashes that were recorded; and against changes of the new era that are
// missed because their versions were given out before. The store is restored twice.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	t.Parallel()
	s := newCrashSystem(t, "drafts", standin.CrashMode{})
	entry := s.entries[0]
	const withdrawn = "withdrawn"
	s.putConfig(2, standin.ConfigKey, withdrawn)
	await(t, "second configuration", func() bool { return entry.view.Config().Version == 2 })
	for drill := range 2 {
		older := s.store.Rows.Copy()
		s.putConfig(3+2*drill, standin.ConfigKey)
		ready := entry.view.Fleet().Ready("drafts")
		worker := ready[len(ready)-1] // not the newcomer
		row := standin.DrainingWorkerRow(string(worker.Name), "drafts", string(worker.Address), worker.StartUnixMilli)
		s.store.Rows.Put(standin.Row{
			Table: platform.TableUpstreams,
			Key:   row.Name,
			Value: row.Value,
		})
		crash := quarantine.Crash{
			Fingerprint: quarantine.Fingerprint{byte(drill)},
			Kind:        quarantine.KindTrial,
			ID:          "w@1",
		}
		entry.crashes.Report([]quarantine.Crash{crash})
		await(t, "changes before the store is restored", func() bool {
			u, _ := entry.view.Fleet().Lookup(worker.Name)
			return entry.view.Config().Version == route.Version(3+2*drill) && u.Draining && s.allKnow(crash)
		})
		s.store.Rows.Restore(older)
		// As many writes as were lost give their versions out again.
		for i := range 3 {
			newcomer := standin.StartedWorkerRow("new", "drafts", "127.0.0.1:1", int64(100*drill+i+1))
			s.store.Rows.Put(standin.Row{
				Table: platform.TableUpstreams,
				Key:   newcomer.Name,
				Value: newcomer.Value,
			})
		}
		await(t, "a change of the new era", func() bool {
			u, ok := entry.view.Fleet().Lookup("new")
			return ok && u.StartUnixMilli == int64(100*drill+3)
		})
		u, _ := entry.view.Fleet().Lookup(worker.Name)
		if !u.Draining {
			t.Error("an upstream that was draining is in use again")
		}
		if diff := cmp.Diff(http.StatusUnauthorized, s.sendWithKey(0, withdrawn)); diff != "" {
			t.Errorf("status with a withdrawn key (-want +got):\n%s", diff)
		}
		await(t, "crashes written again", func() bool { return s.stored(t, crash) })
		if !s.allKnow(crash) {
			t.Error("an entry has forgotten a crash")
		}
		s.putConfig(4+2*drill, standin.ConfigKey)
		await(t, "the operator's next configuration", func() bool {
			return entry.view.Config().Version == route.Version(4+2*drill)
		})
	}
}
