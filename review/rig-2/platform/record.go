package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, a line an event.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

// newRecord returns a Record in a file.
func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		began: time.Now(),
		file:  file,
	}, nil
}

// Add writes an event with pairs of keys and values, and the time since the beginning in ms.
func (r *Record) Add(event string, pairs ...any) {
	var b strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f %s%s\n", float64(time.Since(r.began).Microseconds())/1000, event, b.String())
}

// Say writes an event that also goes to the standard output.
func (r *Record) Say(text string) {
	fmt.Println(text)
	r.Add("note", "text", text)
}
