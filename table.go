package foxtailstack

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's services: tables, object store, elections and others. Test
// for them with errors.Is.
var (
	// ErrNotFound means that there is no row with the key, or no object with the name.
	ErrNotFound = errors.New("row not found")
	// ErrConflict means that a row did not have the expected version. Nothing was
	// written.
	ErrConflict = errors.New("row version differs from the expected one")
	// ErrUnavailable means that the service could not be reached or rejected the
	// operation, which had no effect.
	ErrUnavailable = errors.New("table unavailable")
	// ErrUncertain means that the operation may or may not have taken effect.
	ErrUncertain = errors.New("table gave no answer")
)

// Version counts the writes to a row; zero means that the row does not exist.
type Version uint64

// Key identifies a row in a table.
type Key struct {
	Partition string
	Sort      string
}

// Row is a row of a table with the version of its last write.
type Row struct {
	Key     Key
	Version Version
	Value   []byte
}

// Write replaces a row on condition that its version is Expect. The row then has the
// version Expect+1. Expect zero creates a row that must not exist yet.
type Write struct {
	Key    Key
	Expect Version
	Value  []byte
	// Expires is when the table may drop the row. The zero time means never.
	Expires time.Time
}

// Table is the transactional table service of the platform.
//
// A read sees every write that was acknowledged before the read began.
type Table interface {
	// Get returns the row with the key, or ErrNotFound.
	Get(ctx context.Context, key Key) (Row, error)
	// Commit applies all writes or none. It returns ErrConflict if a row did not have
	// the expected version, ErrUnavailable if the service could not be reached or
	// rejected the operation, and ErrUncertain if the answer was lost.
	Commit(ctx context.Context, writes ...Write) error
	// Range returns at most n rows of a partition whose sort keys are greater than
	// after, ordered by sort key.
	Range(ctx context.Context, partition, after string, n int) ([]Row, error)
}

// ObjectStore is the object store of the platform.
type ObjectStore interface {
	// Get returns the object with the name, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores an object under a name and replaces the previous one.
	Put(ctx context.Context, name string, data []byte) error
}
