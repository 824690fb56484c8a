package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"
)

// maxWrite is the number of bytes that a caller must read within the abandon timeout of the
// route.
const maxWrite = 8 << 10

// write sends a part of the response to the caller. If the caller takes longer than the
// abandon timeout of the route to read maxWrite bytes, write sets callerSlow: a caller that
// waits for events does not wait longer for the next one either.
func (c *call) write(data []byte) error {
	for len(data) > 0 {
		n := min(len(data), maxWrite)
		c.renewWriteDeadline()
		_, err := c.w.Write(data[:n])
		if err != nil {
			return c.noteSlow(err)
		}
		data = data[n:]
	}
	return nil
}

// flush sends what has been written.
func (c *call) flush() error {
	c.renewWriteDeadline()
	return c.noteSlow(http.NewResponseController(c.w).Flush())
}

// renewWriteDeadline gives the caller the abandon timeout of the route from now. The server
// clears the deadline at the end of the request.
func (c *call) renewWriteDeadline() {
	deadline := time.Now().Add(c.route.AbandonTimeout())
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline) // not every test's writer has deadlines
}

// noteSlow sets callerSlow if a write failed because the caller did not read.
func (c *call) noteSlow(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.callerSlow = true
	}
	return err
}
