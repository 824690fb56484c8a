package exchange

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// ErrAborted means that an exchange was ended here, and not by the upstream.
var ErrAborted = errors.New("exchange with the upstream was ended")

// SetReadCheck has reads ask from time to time whether to go on. Once check returns an
// error they fail with ErrLeft and that. It is called by the reading goroutine. The
// watch ends when the connection goes back to its pool.
func (c *Conn) SetReadCheck(pause time.Duration, check func() error) {
	c.in.pause = pause
	c.in.check = check
	c.in.rearm()
}

// input reads from a connection that may be watched.
type input struct {
	raw   net.Conn
	pause time.Duration
	check func() error
}

// Read reads what has come, or waits.
func (in *input) Read(p []byte) (int, error) {
	for {
		n, err := in.raw.Read(p)
		if n > 0 || in.check == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		err = in.check()
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrAborted, err)
		}
		in.rearm()
	}
}

// rearm sets when reads ask next.
func (in *input) rearm() {
	_ = in.raw.SetReadDeadline(time.Now().Add(in.pause)) // a closed connection fails the read
}

// unwatch ends the watch.
func (in *input) unwatch() {
	if in.check == nil {
		return
	}
	in.check = nil
	_ = in.raw.SetReadDeadline(time.Time{}) // a closed connection is found unusable
}
