package exchange

import (
	"errors"

	"github.com/foxtailstack/foxtailstack/memory"
)

const (
	// maxHead is the number of bytes that are read of the head of one response, status line
	// and header.
	maxHead = 64 << 10
	// uncountedHead is the length in bytes of a head that is not taken from the holding, so
	// that usual responses are read when it is full.
	uncountedHead = 4 << 10
)

// ErrHeadTooLong means that the head of a response is longer than maxHead.
var ErrHeadTooLong = errors.New("head of the response is too long")

// headBound bounds what is read of a head. What is read beyond uncountedHead is taken from
// the holding, and stays taken.
type headBound struct {
	holding *memory.Holding
	read    int
}

// add counts n further bytes. A nil headBound has no bound.
func (h *headBound) add(n int) error {
	if h == nil {
		return nil
	}
	counted := max(h.read, uncountedHead)
	h.read += n
	if h.read > maxHead {
		return ErrHeadTooLong
	}
	if h.holding != nil && h.read > counted && !h.holding.Take(h.read-counted) {
		return memory.ErrFull
	}
	return nil
}
