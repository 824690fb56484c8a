package foxtailstack

import (
	"context"
	"errors"
	"time"
)

// Errors that a Table returns. Test for them with errors.Is.
var (
	// ErrNotFound means that the table holds no row under the key.
	ErrNotFound = errors.New("row not found")
	// ErrConflict means that a condition did not hold and nothing was written.
	ErrConflict = errors.New("row version differs from the expected one")
	// ErrUnavailable means that the table refused the operation before it took effect.
	ErrUnavailable = errors.New("table unavailable")
	// ErrUncertain means that the operation may or may not have taken effect.
	ErrUncertain = errors.New("table gave no answer")
)

// Version counts the writes to one row; zero means that the row does not exist.
type Version uint64

// Key locates a row.
type Key struct {
	Partition string
	Sort      string
}

// Row is a value in the table with the version of its last write.
type Row struct {
	Key     Key
	Version Version
	Value   []byte
}

// Write replaces one row on condition that its version is Expect.
// The row then has the version Expect+1.
type Write struct {
	Key    Key
	Expect Version
	Value  []byte
	// Expires is when the table may drop the row. The zero time means never.
	Expires time.Time
}

// Table is the transactional table service of the platform.
//
// Reads see every write that was answered before they began.
type Table interface {
	// Get returns the row under key, or ErrNotFound.
	Get(ctx context.Context, key Key) (Row, error)
	// Commit applies all writes or none. It returns ErrConflict if a condition
	// did not hold, and ErrUncertain if the answer was lost.
	Commit(ctx context.Context, writes ...Write) error
	// Range returns at most n rows of a partition whose sort keys come after
	// the given one, in the order of their sort keys.
	Range(ctx context.Context, partition, after string, n int) ([]Row, error)
}

// ObjectStore is the object store of the platform.
type ObjectStore interface {
	// Get returns the object under name, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores the object under name and replaces a former one.
	Put(ctx context.Context, name string, data []byte) error
}
