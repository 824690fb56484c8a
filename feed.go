package foxtailstack

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone means that the store no longer has the changes after a version.
var ErrHistoryGone = errors.New("changes after the version are no longer kept")

// StoreVersion numbers the transactions of the platform's store. Its upper bits are the era
// of the store, which rises by one each time the store is restored from an older copy: the
// numbers of the transactions that were lost are then given out again. Versions of a later
// era are greater than all of an earlier one.
type StoreVersion uint64

// eraShift is the number of the lower bits of a StoreVersion, which hold the number of the
// transaction.
const eraShift = 40

// NewStoreVersion returns the version of a transaction in an era.
func NewStoreVersion(era, transaction uint64) StoreVersion {
	return StoreVersion(era<<eraShift | transaction)
}

// Era returns the era of the store.
func (v StoreVersion) Era() uint64 {
	return uint64(v >> eraShift)
}

// Transaction returns the number of the transaction within the era.
func (v StoreVersion) Transaction() uint64 {
	return uint64(v) & (1<<eraShift - 1)
}

// Record is a row of a table that a Feed reads.
type Record struct {
	Name string
	// Version is the version of the transaction that last changed or removed the row.
	Version StoreVersion
	Value   []byte
	// Deleted is set in a change that removed the row.
	Deleted bool
}

// Feed reads tables of the platform's store and follows their changes.
type Feed interface {
	// Read returns all rows of a table and a version of the store. Each row is at least
	// as new as this version and may be newer.
	Read(ctx context.Context, table string) ([]Record, StoreVersion, error)
	// Changes returns the rows that changed after a version, or none if nothing
	// changes within wait, and the version for the next call. It returns
	// ErrHistoryGone if the caller has to read the table again.
	Changes(ctx context.Context, table string, after StoreVersion, wait time.Duration) ([]Record, StoreVersion, error)
}

// RecordWriter writes rows of tables of the platform's store.
type RecordWriter interface {
	// Write writes rows of a table, of which only Name and Value count, and removes the
	// rows with the given names, all or none of them. There is no condition on what the
	// rows hold. The error wraps ErrUnavailable if nothing was done, and ErrUncertain if
	// that is not known.
	Write(ctx context.Context, table string, records []Record, remove []string) error
}

// Election elects a leader among processes by a row in the platform's store: the leader
// is the process whose Claim succeeded last, and its fencing token is the version of
// the row that Claim returned.
type Election interface {
	// Holder returns the value of the row and the version of its last write. The
	// version is zero if there is no row.
	Holder(ctx context.Context, name string) ([]byte, StoreVersion, error)
	// Claim replaces the row if its version is still expect. It returns the new
	// version, which serves as a fencing token, or ErrConflict.
	Claim(ctx context.Context, name string, expect StoreVersion, value []byte) (StoreVersion, error)
}
