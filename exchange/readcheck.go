package exchange

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// ErrReadCheck means that the check set with SetReadCheck ended the exchange, not
// the upstream. It is unrelated to Conn.Abort, which causes a network error.
var ErrReadCheck = errors.New("exchange with the upstream aborted by its read check")

// SetReadCheck makes reads call check at the given interval while they wait for
// data. If check returns an error, the read fails with ErrReadCheck and that error.
// The reading goroutine calls check. The check is removed when the connection
// returns to its pool.
func (c *Conn) SetReadCheck(interval time.Duration, check func() error) {
	c.checked.interval = interval
	c.checked.check = check
	c.checked.armDeadline()
}

// checkedReader reads from a connection, with an optional periodic check and an optional
// bound on a head.
type checkedReader struct {
	raw      net.Conn
	interval time.Duration
	check    func() error
	// head bounds what is read while a head is awaited; nil while none is.
	head *headBound
}

// Read reads available data, or waits for data while the check, if any, passes.
func (r *checkedReader) Read(p []byte) (int, error) {
	for {
		n, err := r.raw.Read(p)
		if boundErr := r.head.add(n); boundErr != nil {
			return 0, boundErr
		}
		if n > 0 || r.check == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		err = r.check()
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrReadCheck, err)
		}
		r.armDeadline()
	}
}

// armDeadline sets the time of the next check.
func (r *checkedReader) armDeadline() {
	_ = r.raw.SetReadDeadline(time.Now().Add(r.interval)) // on a closed connection the next read fails
}

// clearCheck removes the check.
func (r *checkedReader) clearCheck() {
	if r.check == nil {
		return
	}
	r.check = nil
	_ = r.raw.SetReadDeadline(time.Time{}) // a closed connection is detected by usable
}
