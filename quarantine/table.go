package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

const (
	// sweepInterval is the mean time between two removals of expired rows. Each entry
	// draws its own times, so that one of them mostly removes the rows for all.
	sweepInterval = time.Minute
	// rewriteSpread is the time over which the entries write rows again that the store has
	// lost. Each draws its own moment, so that one of them mostly writes them for all.
	rewriteSpread = time.Second
)

// Table shares the crashes that a List records with other entries, as rows of a table
// of the platform's store, one for each crash under a request. It implements the
// callbacks of a watch.Follower of that table. List and Log must be set before use, the
// other fields before Run is called.
type Table struct {
	List *List
	// Writer and Name are the store and the table.
	Writer foxtailstack.RecordWriter
	Name   string
	// MaxWrites is the number of rows that Writer and Fallback take in one call.
	MaxWrites int
	// Fallback, unless it is nil, is a second place for the rows, for the time in which the
	// store is away. Its rows are received with FallbackReplaced and FallbackChanged.
	Fallback foxtailstack.RecordWriter
	// Instance is the name of this entry. It stands in the rows for diagnosis.
	Instance foxtailstack.InstanceName
	Log      *zap.Logger

	mu sync.Mutex
	// read is set once the table has been read.
	read atomic.Bool
	// rows holds the names of the rows that the store is known to have.
	rows map[string]struct{}
	// era is that of the store when the table was read last.
	era uint64
	// toStore and toFallback hold the rows that are to be written to Writer and Fallback.
	toStore    outbox
	toFallback outbox
}

// Read reports whether the crashes that other entries share are known: the table has been read,
// or there is none.
func (t *Table) Read() bool {
	return t.Writer == nil || t.read.Load()
}

// Report records crashes and shares them.
func (t *Table) Report(crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range crashes {
		if t.List.Known(c.Fingerprint) {
			c.Kind = c.Kind.withoutStarted()
		}
		age, served := t.List.Discount(c)
		if served {
			t.logDiscount(c, age, t.Instance)
		}
		n := t.List.Add(c)
		if n == 0 {
			continue
		}
		countCrash(c.Kind)
		t.logCrash("crash recorded", c, n, t.Instance)
		t.setPending(rowName(c), true)
	}
}

// Served records that a request has run to its end. Suspects in it are none from then on,
// here and at the other entries.
func (t *Table) Served(s Subject) {
	t.clear(t.List.Served(s))
}

// Begun records that an answer to a request has begun. Parts of its prompt that are
// suspects are none from then on, here and at the other entries.
func (t *Table) Begun(s Subject) {
	t.clear(t.List.Begun(s))
}

// clear removes the rows of crashes that no longer count.
func (t *Table) clear(cleared []Crash) {
	if len(cleared) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clearedTotal.Add(len(cleared))
	for _, c := range cleared {
		t.Log.Info("suspect cleared", zap.Stringer("fingerprint", c.Fingerprint), zap.Stringer("kind", c.Kind))
		t.removeRows(c)
	}
}

// removeRows lets Run remove the rows of a crash. Entries may have recorded it under the
// same part as several kinds. The caller holds mu.
func (t *Table) removeRows(c Crash) {
	if c.Kind == KindRequest {
		t.setPending(rowName(c), false)
		return
	}
	for _, kind := range partKinds {
		c.Kind = kind
		row := rowName(c)
		_, known := t.rows[row]
		pending, _ := t.toStore.state(row)
		if known || pending {
			t.setPending(row, false)
		}
	}
}

// setPending lets Run write or remove a row.
func (t *Table) setPending(row string, write bool) {
	if t.Writer != nil {
		t.toStore.add(row, write)
	}
	if t.Fallback != nil {
		t.toFallback.add(row, write)
	}
}

// Replace receives all rows of the table. Crashes whose rows are gone are removed from
// the List, unless the store has been restored from an older copy: then their rows are
// written again.
func (t *Table) Replace(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
	t.mu.Lock()
	gone := t.rows
	restored := t.era < version.Era()
	t.era = version.Era()
	t.rows = nil
	t.mu.Unlock()
	t.Update(records, version)
	t.read.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost []string
	for row := range gone {
		_, kept := t.rows[row]
		_, pending := t.toStore.state(row)
		switch {
		case kept || pending:
		case restored:
			lost = append(lost, row)
		default:
			t.forget(row)
		}
	}
	if len(lost) > 0 {
		time.AfterFunc(rand.N(rewriteSpread), func() { t.rewrite(lost) })
	}
}

// rewrite lets Run write rows that the store has lost, unless another entry has done so
// or the crash no longer counts.
func (t *Table) rewrite(lost []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rewritten := 0
	for _, row := range lost {
		c, err := parseRowName(row)
		_, present := t.rows[row]
		if err != nil || present || !t.List.Has(c) {
			continue
		}
		rewritten++
		t.setPending(row, true)
	}
	if rewritten > 0 {
		t.Log.Info("lost crashes written again", zap.Int("rows", rewritten))
	}
}

// Update receives the rows of the table that changed. It removes those of requests that
// have run to their end here recently.
func (t *Table) Update(records []foxtailstack.Record, _ foxtailstack.StoreVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = make(map[string]struct{})
	}
	for _, record := range records {
		if record.Deleted {
			delete(t.rows, record.Name)
			t.forget(record.Name)
			continue
		}
		if t.learn(record) {
			t.rows[record.Name] = struct{}{}
		}
	}
}

// learn records the crash of a row. It lets Run remove the row if it is of a request that
// has run to its end here recently. It returns false if the row names no crash. The caller
// holds mu.
func (t *Table) learn(record foxtailstack.Record) bool {
	c, err := parseRowName(record.Name)
	if err != nil {
		t.Log.Warn("row skipped", zap.String("kind", "crash"), zap.String("row", record.Name), zap.Error(err))
		return false
	}
	age, served := t.List.Discount(c)
	if served {
		t.logDiscount(c, age, foxtailstack.InstanceName(record.Value))
		t.setPending(record.Name, false)
		return true
	}
	if c.Kind.has(KindStarted) && t.List.Known(c.Fingerprint) {
		t.setPending(record.Name, false)
		c.Kind = c.Kind.withoutStarted()
		t.setPending(rowName(c), true)
	}
	n := t.List.Add(c)
	if n > 0 {
		t.logCrash("crash learnt", c, n, foxtailstack.InstanceName(record.Value))
	}
	return true
}

// FallbackChanged receives the rows of the fallback store that changed.
func (t *Table) FallbackChanged(records []foxtailstack.Record, _ foxtailstack.StoreVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range records {
		_, inStore := t.rows[record.Name]
		if record.Deleted && !inStore {
			t.forget(record.Name)
		}
		if !record.Deleted {
			t.learn(record)
		}
	}
}

// FallbackReplaced receives all rows of a fallback store that is read for the first time. Crashes that
// are recorded here and not on the fallback store are written to it.
func (t *Table) FallbackReplaced(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Name] = true
	}
	for _, c := range t.List.All() {
		row := rowName(c)
		if !present[row] {
			t.toFallback.add(row, true)
		}
	}
	t.FallbackChanged(records, version)
}

// forget removes the crash of a row from the List, or what only that row says of its kind
// if there are others of the same crash. The caller holds mu.
func (t *Table) forget(row string) {
	c, err := parseRowName(row)
	if err != nil {
		return
	}
	kind := t.kindInRows(c)
	if kind == KindRequest {
		t.List.Remove(c.Fingerprint, c.ID)
		return
	}
	t.List.SetKind(c.Fingerprint, c.ID, kind)
}

// kindInRows returns the kind of a crash under a part according to the rows that the store
// has or will have, or KindRequest if there is none. The caller holds mu.
func (t *Table) kindInRows(c Crash) Kind {
	if c.Kind == KindRequest {
		return KindRequest
	}
	found := KindRequest
	for _, kind := range partKinds {
		c.Kind = kind
		row := rowName(c)
		_, present := t.rows[row]
		_, pending := t.toStore.state(row)
		if present || pending {
			found |= kind
		}
	}
	return found
}

// Run writes pending rows until ctx is done, and removes the rows of records that have
// expired.
func (t *Table) Run(ctx context.Context) {
	to := delivery{
		writer:    t.Writer,
		table:     t.Name,
		maxWrites: t.MaxWrites,
		value:     []byte(t.Instance),
		log:       t.Log,
	}
	go t.toStore.run(ctx, to)
	if t.Fallback != nil {
		to.writer = t.Fallback
		go t.toFallback.run(ctx, to)
	}
	for clock.Sleep(ctx, sweepInterval/2+rand.N(sweepInterval)) == nil {
		t.sweep()
	}
}

// sweep lets Run remove the rows of crashes that the List no longer holds.
func (t *Table) sweep() {
	held := make(map[string]struct{})
	for _, c := range t.List.All() {
		held[rowName(c)] = struct{}{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for row := range t.rows {
		_, ok := held[row]
		if !ok {
			t.setPending(row, false)
		}
	}
}

// logCrash logs a crash. n is the number of crashes that are recorded under the same
// request or part, by the entry that found it.
func (t *Table) logCrash(message string, c Crash, n int, by foxtailstack.InstanceName) {
	t.Log.Info(message,
		zap.Stringer("fingerprint", c.Fingerprint),
		zap.Stringer("kind", c.Kind),
		zap.String("crash", string(c.ID)),
		zap.Int("crashes", n),
		zap.Bool("quarantined", t.List.Quarantined(c.Fingerprint)),
		zap.String("by", string(by)))
}

// logDiscount logs that a crash, found by an entry, does not count because the request or
// part was served recently.
func (t *Table) logDiscount(c Crash, age time.Duration, by foxtailstack.InstanceName) {
	discountedTotal.Inc()
	t.Log.Info("crash not counted",
		zap.Stringer("fingerprint", c.Fingerprint),
		zap.Stringer("kind", c.Kind),
		zap.String("crash", string(c.ID)),
		zap.Duration("served", age),
		zap.String("by", string(by)))
}
