package logbook

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueCapacity is the number of lines that can wait to be written.
	queueCapacity = 512
	// linesPerSecond is the leak rate and burstLines the size of the leaky bucket that
	// limits the accepted lines.
	linesPerSecond = 400
	burstLines     = 800
)

// Writer is an io.Writer that never blocks. Each call of Write is one line. Its methods
// may be called concurrently.
type Writer struct {
	queue chan []byte
	done  chan struct{}

	mu     sync.Mutex
	closed bool
	// bucketLevel is the number of lines in the leaky bucket as of bucketUpdatedAt.
	bucketLevel     float64
	bucketUpdatedAt time.Time
	// unreportedDrops is the number of lines dropped since the last line with a count
	// of dropped lines was queued.
	unreportedDrops uint64
	totalDrops      uint64
}

// NewWriter returns a Writer that writes to w from a goroutine. After Close the goroutine
// writes the lines still queued and ends. It does not end while w blocks.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{
		queue: make(chan []byte, queueCapacity),
		done:  make(chan struct{}),
	}
	go l.writeLines(w)
	return l
}

// Write queues a line or drops it: if the Writer is closed, the rate limit is exceeded
// or the queue is full. It always reports success.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.allow(time.Now()) {
		l.countDrop()
		return len(line), nil
	}
	text := bytes.Clone(line)
	if l.unreportedDrops > 0 {
		text = fmt.Appendf(nil, "level=warn msg=\"lines dropped\" count=%d\n%s", l.unreportedDrops, line)
	}
	select {
	case l.queue <- text:
		l.unreportedDrops = 0
	default:
		l.countDrop()
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the Writer was made.
func (l *Writer) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalDrops
}

// Close stops accepting lines and waits until the queued ones are written, at most for
// timeout. Lines that are still queued after that may be lost when the process ends, and
// are not counted as dropped.
func (l *Writer) Close(timeout time.Duration) {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}

// allow reports whether the rate limit admits a line at now and counts the line if so.
// The caller holds mu.
func (l *Writer) allow(now time.Time) bool {
	l.bucketLevel = max(0, l.bucketLevel-linesPerSecond*now.Sub(l.bucketUpdatedAt).Seconds())
	l.bucketUpdatedAt = now
	if l.bucketLevel+1 > burstLines {
		return false
	}
	l.bucketLevel++
	return true
}

// countDrop counts a dropped line. The caller holds mu.
func (l *Writer) countDrop() {
	l.unreportedDrops++
	l.totalDrops++
}

// writeLines writes the queued lines to w until the Writer is closed and its queue empty.
func (l *Writer) writeLines(w io.Writer) {
	defer close(l.done)
	for line := range l.queue {
		_, _ = w.Write(line) // there is nowhere to report a log that cannot be written
	}
}
