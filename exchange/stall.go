package exchange

import (
	"errors"
	"net"
	"os"
	"time"
)

// ErrStalled means that the wait for an upstream was ended because it makes no
// progress.
var ErrStalled = errors.New("upstream makes no progress")

// Watch has reads ask from time to time, while they wait, whether to go on. Once
// stalled returns true they fail with ErrStalled. It is called by the reading
// goroutine. The watch ends when the connection goes back to its pool.
func (c *Conn) Watch(pause time.Duration, stalled func() bool) {
	c.in.pause = pause
	c.in.stalled = stalled
	c.in.rearm()
}

// input reads from a connection that may be watched.
type input struct {
	raw     net.Conn
	pause   time.Duration
	stalled func() bool
}

// Read reads what has come, or waits.
func (in *input) Read(p []byte) (int, error) {
	for {
		n, err := in.raw.Read(p)
		if n > 0 || in.stalled == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if in.stalled() {
			return 0, ErrStalled
		}
		in.rearm()
	}
}

// rearm sets when a read that waits looks again.
func (in *input) rearm() {
	_ = in.raw.SetReadDeadline(time.Now().Add(in.pause)) // a closed connection fails the read
}

// unwatch ends the watch.
func (in *input) unwatch() {
	if in.stalled == nil {
		return
	}
	in.stalled = nil
	_ = in.raw.SetReadDeadline(time.Time{}) // a closed connection is found unusable
}
