package exchange

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// lastWriteTime is how long the writer of a request body is awaited once the upstream has
// closed the connection: it then ends, in success or not, as soon as it runs.
const lastWriteTime = 200 * time.Millisecond

// unframedBody is the body of a response that ends with its connection, while the body of the
// request is still being written. The operating system tells of a reset once: if the writer
// learns of it, the reader sees an end that looks regular.
type unframedBody struct {
	body     io.Reader
	bodySent <-chan error
	// end is the error of the end, once that was reached.
	end error
}

// Read reads the body. At its end it returns an error unless the request was written whole.
func (u *unframedBody) Read(p []byte) (int, error) {
	if u.end != nil {
		return 0, u.end
	}
	n, err := u.body.Read(p)
	if errors.Is(err, io.EOF) {
		u.end = u.awaitWriter()
		return n, u.end
	}
	return n, err
}

// awaitWriter returns io.EOF if the request was written whole.
func (u *unframedBody) awaitWriter() error {
	timer := time.NewTimer(lastWriteTime)
	defer timer.Stop()
	select {
	case err := <-u.bodySent:
		if err != nil {
			return fmt.Errorf("%w: write: %w", ErrBroken, err)
		}
		return io.EOF
	case <-timer.C:
		return fmt.Errorf("%w: %w before the request was written whole", ErrBroken, io.ErrUnexpectedEOF)
	}
}
