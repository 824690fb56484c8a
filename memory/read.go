package memory

import (
	"errors"
	"io"
)

// ErrFull means that the account has no room for more bytes.
var ErrFull = errors.New("the bytes held would pass their bound")

const (
	// firstBuffer is the size in bytes of the buffer for data of unknown length. It
	// doubles as it fills. It grows by maxGrowth at most, or by one part in growthDivisor if
	// that is more, so that long data are not copied too often.
	firstBuffer   = 512
	maxGrowth     = 256 << 10
	growthDivisor = 8
)

// ReadAll reads r to its end. It takes the buffer for size bytes at once, or for what has
// come if size is negative, so that a slow sender holds about as much as it has sent. With
// ErrFull it returns what has been read; r can be read further. What is returned stays
// taken.
func (h *Holding) ReadAll(r io.Reader, size int64) ([]byte, error) {
	growth := firstBuffer
	if size >= 0 {
		growth = int(size) + 1 // one more to meet the end
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			if !h.Take(len(data) + growth) { // both copies, while there are two
				return data, ErrFull
			}
			grown := make([]byte, len(data), len(data)+growth)
			copy(grown, data)
			h.Give(len(data))
			data = grown
			growth = max(min(cap(data), maxGrowth), cap(data)/growthDivisor)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
