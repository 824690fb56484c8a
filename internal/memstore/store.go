package memstore

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Store is a foxtailstack.Table and a foxtailstack.ObjectStore within one
// process. The zero value is empty and ready for use.
type Store struct {
	mu      sync.Mutex
	rows    map[foxtailstack.Key]keptRow
	objects map[string][]byte
}

// keptRow is a row with the time of its end.
type keptRow struct {
	row     foxtailstack.Row
	expires time.Time
}

// Get returns the row under key, or foxtailstack.ErrNotFound.
func (m *Store) Get(_ context.Context, key foxtailstack.Key) (foxtailstack.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.live(key)
	if !ok {
		return foxtailstack.Row{}, foxtailstack.ErrNotFound
	}
	return row, nil
}

// Commit applies all writes, or none of them if a version differs.
func (m *Store) Commit(_ context.Context, writes ...foxtailstack.Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range writes {
		row, _ := m.live(w.Key)
		if row.Version != w.Expect {
			return fmt.Errorf("%w: %s/%s has version %d, expected %d",
				foxtailstack.ErrConflict, w.Key.Partition, w.Key.Sort, row.Version, w.Expect)
		}
	}
	if m.rows == nil {
		m.rows = map[foxtailstack.Key]keptRow{}
	}
	for _, w := range writes {
		m.rows[w.Key] = keptRow{
			row: foxtailstack.Row{
				Key:     w.Key,
				Version: w.Expect + 1,
				Value:   w.Value,
			},
			expires: w.Expires,
		}
	}
	return nil
}

// Range returns at most n rows of a partition after a sort key.
func (m *Store) Range(_ context.Context, partition, after string, n int) ([]foxtailstack.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []foxtailstack.Row
	for key := range m.rows {
		if key.Partition != partition || key.Sort <= after {
			continue
		}
		if row, ok := m.live(key); ok {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key.Sort < rows[j].Key.Sort })
	return rows[:min(n, len(rows))], nil
}

// Objects returns the object store of m.
func (m *Store) Objects() foxtailstack.ObjectStore {
	return objects{store: m}
}

// live returns a row that has not expired. The caller holds m.mu.
func (m *Store) live(key foxtailstack.Key) (foxtailstack.Row, bool) {
	found, ok := m.rows[key]
	if !ok || (!found.expires.IsZero() && time.Now().After(found.expires)) {
		return foxtailstack.Row{}, false
	}
	return found.row, true
}

// objects is the object store of a Store.
type objects struct {
	store *Store
}

// Get returns the object under name, or foxtailstack.ErrNotFound.
func (o objects) Get(_ context.Context, name string) ([]byte, error) {
	o.store.mu.Lock()
	defer o.store.mu.Unlock()
	data, ok := o.store.objects[name]
	if !ok {
		return nil, foxtailstack.ErrNotFound
	}
	return data, nil
}

// Put stores the object under name.
func (o objects) Put(_ context.Context, name string, data []byte) error {
	o.store.mu.Lock()
	defer o.store.mu.Unlock()
	if o.store.objects == nil {
		o.store.objects = map[string][]byte{}
	}
	o.store.objects[name] = append([]byte(nil), data...)
	return nil
}
