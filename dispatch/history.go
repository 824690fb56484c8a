package dispatch

import "time"

// historyLength is how far back a valueHistory reaches. Loads older than that are not
// used to choose an upstream.
const historyLength = loadTTL

// valueHistory holds the recent values of a number. The zero value has recorded no
// change.
type valueHistory struct {
	changes []valueChange
}

// valueChange is the end of the time during which the number had a value.
type valueChange struct {
	until time.Time
	value int
}

// record records that the number had the given value until now, and drops the changes
// that are older than historyLength.
func (h *valueHistory) record(now time.Time, value int) {
	expired := 0
	for expired < len(h.changes) && now.Sub(h.changes[expired].until) > historyLength {
		expired++
	}
	h.changes = append(h.changes[expired:], valueChange{
		until: now,
		value: value,
	})
}

// valueAt returns the value at time t. current is the present value; it is returned if
// the number has not changed since t.
func (h *valueHistory) valueAt(t time.Time, current int) int {
	for _, change := range h.changes {
		if change.until.After(t) {
			return change.value
		}
	}
	return current
}
