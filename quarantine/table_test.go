package quarantine

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// testStore passes the rows that one Table writes to others, as the feed of the store
// does.
type testStore struct {
	mu sync.Mutex
	// fails is the number of calls that fail next.
	fails int
	calls int
	rows  map[string][]byte
	// feeds holds a feed for each table, which keeps the order of the changes.
	feeds []chan []foxtailstack.Record
}

func (s *testStore) Write(_ context.Context, _ string, records []foxtailstack.Record, remove []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.fails > 0 {
		s.fails--
		return foxtailstack.ErrUnavailable
	}
	changes := slices.Clone(records)
	for _, record := range records {
		s.rows[record.Name] = record.Value
	}
	for _, name := range remove {
		delete(s.rows, name)
		changes = append(changes, foxtailstack.Record{
			Name:    name,
			Deleted: true,
		})
	}
	for _, feed := range s.feeds {
		feed <- changes
	}
	return nil
}

// fail lets the next calls fail.
func (s *testStore) fail(calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = calls
}

// callCount returns the number of calls so far.
func (s *testStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// all returns all rows.
func (s *testStore) all() []foxtailstack.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []foxtailstack.Record
	for name, value := range s.rows {
		records = append(records, foxtailstack.Record{
			Name:  name,
			Value: value,
		})
	}
	return records
}

// start runs a new table on the store until the test ends.
func (s *testStore) start(ctx context.Context) *Table {
	table := &Table{
		List:      &List{},
		Writer:    s,
		Name:      "crashes",
		MaxWrites: 3,
		Log:       zap.NewNop(),
	}
	table.Replace(s.all(), 0)
	feed := make(chan []foxtailstack.Record, 64)
	s.mu.Lock()
	s.feeds = append(s.feeds, feed)
	s.mu.Unlock()
	go follow(ctx, feed, table)
	go table.Run(ctx)
	return table
}

// follow passes the changes of a feed to a table until ctx ends.
func follow(ctx context.Context, feed <-chan []foxtailstack.Record, table *Table) {
	for {
		select {
		case changes := <-feed:
			table.Update(changes, 0)
		case <-ctx.Done():
			return
		}
	}
}

// runTables runs a test with a store and two tables on it.
func runTables(t *testing.T, test func(t *testing.T, s *testStore, a, b *Table)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &testStore{rows: make(map[string][]byte)}
		test(t, s, s.start(ctx), s.start(ctx))
		cancel()
		synctest.Wait()
	})
}

// crashOf returns a crash under the request with number n.
func crashOf(n byte, id CrashID) Crash {
	return Crash{
		Fingerprint: Fingerprint{n},
		ID:          id,
		Upstream:    id.upstream(),
	}
}

// Guards against a request that crashes one upstream by each entry: what entries find
// counts together, also at those that start later or after the store was away, and the
// same crash found by two entries counts once.
func TestTableSharesCrashes(t *testing.T) {
	runTables(t, func(t *testing.T, s *testStore, a, b *Table) {
		s.fail(3)
		a.Report([]Crash{crashOf(1, "v@1")})
		b.Report([]Crash{crashOf(1, "v@1")})
		a.Report([]Crash{crashOf(2, "v@1")})
		b.Report([]Crash{crashOf(2, "w@1")})
		time.Sleep(5 * time.Second)
		for name, table := range map[string]*Table{
			"a":     a,
			"b":     b,
			"later": s.start(t.Context()),
		} {
			if table.List.Quarantined(Fingerprint{1}) {
				t.Errorf("%s: one crash found by two entries counts twice", name)
			}
			if !table.List.Quarantined(Fingerprint{2}) {
				t.Errorf("%s: two crashes found by two entries do not count together", name)
			}
		}
	})
}

// Guards against suspects that stay suspects elsewhere after they have run, and against a
// request in quarantine that leaves it.
func TestTableClearsSuspects(t *testing.T) {
	runTables(t, func(t *testing.T, s *testStore, a, b *Table) {
		for n := range byte(7) {
			a.Report([]Crash{crashOf(n, "v@1")})
		}
		a.Report([]Crash{crashOf(0, "w@1")})
		time.Sleep(time.Second)
		before := s.callCount()
		for n := range byte(7) {
			b.Served(Subject{Request: Fingerprint{n}})
		}
		time.Sleep(3 * clearDelay)
		var want []string
		for _, id := range []CrashID{"v@1", "w@1"} {
			want = append(want, rowName(crashOf(0, id)))
		}
		var got []string
		for _, c := range a.List.All() {
			got = append(got, rowName(c))
		}
		slices.Sort(got)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("crashes left (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(2, s.callCount()-before); diff != "" {
			t.Errorf("calls for 6 rows, 3 at a time (-want +got):\n%s", diff)
		}
	})
}

// Guards against a request that many callers send being refused everywhere, because it
// ran on two upstreams that crashed at once for another reason.
func TestTableKeepsServedRequests(t *testing.T) {
	runTables(t, func(t *testing.T, s *testStore, a, b *Table) {
		a.Served(Subject{Request: Fingerprint{1}})
		time.Sleep(servedTTL / 2)
		b.Report([]Crash{crashOf(1, "v@1")})
		b.Report([]Crash{crashOf(1, "w@1")})
		time.Sleep(2 * clearDelay)
		for name, table := range map[string]*Table{
			"a": a,
			"b": b,
		} {
			if table.List.Quarantined(Fingerprint{1}) {
				t.Errorf("%s: a request that was served %s before is in quarantine", name, servedTTL/2)
			}
		}
		time.Sleep(servedTTL)
		b.Report([]Crash{crashOf(1, "v@2")})
		b.Report([]Crash{crashOf(1, "w@2")})
		time.Sleep(2 * clearDelay)
		if !a.List.Quarantined(Fingerprint{1}) {
			t.Errorf("a request that was last served longer than %s before is not in quarantine", servedTTL)
		}
	})
}

// Guards against a part of prompts that crashes one upstream by each entry, against parts
// that stay suspects elsewhere after an answer to them has begun, and against rows of them
// that stay.
func TestTableSharesParts(t *testing.T) {
	runTables(t, func(t *testing.T, s *testStore, a, b *Table) {
		bad := subjectOf("bad")
		trial := Attempt{
			Subject: bad,
			Trial:   bad.Parts,
		}
		sound := subjectOf("sound")
		waiting := Attempt{Subject: sound}
		a.Report(trial.crashes(firstStart))
		a.Report(waiting.crashes(started("x", 1)))
		trial.Progress = Started
		b.Report(trial.crashes(firstStart))
		time.Sleep(time.Second)
		for name, table := range map[string]*Table{
			"a":     a,
			"b":     b,
			"later": s.start(t.Context()),
		} {
			got := map[string]standing{
				"bad":   standingOf(t, table.List, "bad"),
				"sound": standingOf(t, table.List, "sound"),
			}
			want := map[string]standing{
				"bad":   refused,
				"sound": suspect,
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s: requests by their parts (-want +got):\n%s", name, diff)
			}
		}
		b.Served(sound)
		time.Sleep(2 * clearDelay)
		if diff := cmp.Diff(free, standingOf(t, a.List, "sound")); diff != "" {
			t.Errorf("a part answered at another entry (-want +got):\n%s", diff)
		}
		for _, row := range s.all() {
			if strings.Contains(row.Name, sound.Parts[0].String()) {
				t.Errorf("row %s is left", row.Name)
			}
		}
	})
}

// Guards against a popular part that is held back at all entries because the one that found
// the crash had never answered it: the cause may be the request as a whole.
func TestTableKnowsPartsOfOtherEntries(t *testing.T) {
	runTables(t, func(t *testing.T, s *testStore, a, b *Table) {
		b.Begun(subjectOf("popular"))
		time.Sleep(begunTTL)
		attempt := Attempt{
			Subject:  subjectOf("popular bad"),
			Progress: Started,
		}
		a.Report(attempt.crashes(firstStart))
		time.Sleep(time.Second)
		for name, table := range map[string]*Table{
			"a":     a,
			"b":     b,
			"later": s.start(t.Context()),
		} {
			got := map[string]standing{
				"popular":     standingOf(t, table.List, "popular"),
				"bad":         standingOf(t, table.List, "bad"),
				"popular bad": standingOf(t, table.List, "popular bad"),
			}
			want := map[string]standing{
				"popular":     free, // the crash is explained by the other part
				"bad":         refused,
				"popular bad": refused,
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s: requests by their parts (-want +got):\n%s", name, diff)
			}
		}
	})
}

// Guards against rows that stay in the store for ever.
func TestTableRemovesExpiredRows(t *testing.T) {
	runTables(t, func(t *testing.T, s *testStore, a, b *Table) {
		a.Report([]Crash{crashOf(1, "v@1")})
		b.Report([]Crash{crashOf(1, "w@1")})
		time.Sleep(crashTTL - time.Second)
		if diff := cmp.Diff(2, len(s.all())); diff != "" {
			t.Errorf("rows before the end of their time (-want +got):\n%s", diff)
		}
		time.Sleep(2*sweepInterval + time.Second)
		if diff := cmp.Diff(0, len(s.all())); diff != "" {
			t.Errorf("rows after the end of their time (-want +got):\n%s", diff)
		}
	})
}

// Guards against suspects that were cleared elsewhere while the history of the store was
// lost, and against crashes that are forgotten before they could be written.
func TestTableReplace(t *testing.T) {
	runTables(t, func(t *testing.T, s *testStore, a, b *Table) {
		b.Report([]Crash{crashOf(1, "v@1")})
		time.Sleep(time.Second)
		s.fail(1000)
		a.Report([]Crash{crashOf(2, "v@1")})
		a.Replace([]foxtailstack.Record{{Name: "strange"}, {Name: strings.Repeat("0", 32) + rowSeparator}}, 0)
		if diff := cmp.Diff([]Crash{crashOf(2, "v@1")}, a.List.All()); diff != "" {
			t.Errorf("crashes (-want +got):\n%s", diff)
		}
	})
}

// Guards against a request that waits for an upstream while others like it crash theirs,
// and is sent on the admission from before.
func TestAdmissionOutdated(t *testing.T) {
	var l List
	first, err := l.Admit(t.Context(), Subject{})
	if err != nil {
		t.Fatal("admit:", err)
	}
	l.Add(crashOf(1, "v@1"))
	if first.Outdated.Err() != nil {
		t.Error("a crash under another request made the admission outdated")
	}
	l.Add(crashOf(0, "v@1"))
	if first.Outdated.Err() == nil {
		t.Error("a crash under an equal request left the admission valid")
	}
	first.Release()
	second, err := l.Admit(t.Context(), Subject{})
	if err != nil || !second.Suspect || second.Outdated.Err() != nil {
		t.Errorf("got error %v, suspect %t, outdated %v, want a valid admission of a suspect", err, second.Suspect, second.Outdated)
	}
	second.Release()
	if diff := cmp.Diff(0, len(l.admitted)); diff != "" {
		t.Errorf("admissions left (-want +got):\n%s", diff)
	}
}

// Guards against crashes that only the entry that found them knows while the store is away:
// they pass over the fallback store, also to one that is read later, and so does their removal.
func TestTableSharesCrashesOverFallback(t *testing.T) {
	finder, other := newFallbackTable(t), newFallbackTable(t)
	crash := Crash{
		Fingerprint: Fingerprint{7},
		Kind:        KindRequest,
		ID:          "u@1",
		Upstream:    "u",
	}
	finder.Report([]Crash{crash})
	row := foxtailstack.Record{Name: rowName(crash)}
	other.FallbackChanged([]foxtailstack.Record{row}, 1)
	if !other.List.Has(crash) {
		t.Error("a crash on the fallback store is not recorded")
	}
	other.toFallback = outbox{}
	other.FallbackReplaced(nil, 1)
	if _, write := other.toFallback.state(row.Name); !write {
		t.Error("a crash that an empty fallback store lacks is not written to it")
	}
	row.Deleted = true
	other.FallbackChanged([]foxtailstack.Record{row}, 2)
	if other.List.Has(crash) {
		t.Error("a crash that was removed from the fallback store is still recorded")
	}
	other.Update([]foxtailstack.Record{{Name: row.Name}}, 3)
	other.FallbackChanged([]foxtailstack.Record{row}, 4)
	if !other.List.Has(crash) {
		t.Error("a crash that the store holds was removed with its row on the fallback store")
	}
}

// noWriter takes no rows.
type noWriter struct{}

func (noWriter) Write(context.Context, string, []foxtailstack.Record, []string) error {
	return foxtailstack.ErrUnavailable
}

// newFallbackTable returns a table with a store and a fallback store that take no rows.
func newFallbackTable(t *testing.T) *Table {
	t.Helper()
	return &Table{
		List:     &List{},
		Writer:   noWriter{},
		Fallback: noWriter{},
		Log:      zap.NewNop(),
	}
}
