package logbook_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/logbook"
	"github.com/google/go-cmp/cmp"
)

func TestWriterKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	w := logbook.NewWriter(&out)
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	w.Close(time.Second)
	if diff := cmp.Diff("one\ntwo\n", out.String()); diff != "" {
		t.Errorf("log differs (-want +got):\n%s", diff)
	}
}

// Write does not block if nothing reads from the underlying writer.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, pipe := io.Pipe()
		w := logbook.NewWriter(pipe)
		began := time.Now()
		for range 10_000 {
			_, _ = w.Write([]byte("line\n"))
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("10000 calls of Write took %v, want 0", took)
		}
		if w.Dropped() == 0 {
			t.Error("got no dropped lines, want some")
		}
		w.Close(time.Second)
		_ = r.Close()
	})
}

// The number of dropped lines is written before the next line that is accepted.
func TestWriterReportsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := logbook.NewWriter(&out)
		for range 2000 {
			_, _ = w.Write([]byte("line\n"))
			synctest.Wait()
		}
		time.Sleep(time.Second)
		_, _ = w.Write([]byte("last\n"))
		w.Close(time.Second)
		if !strings.HasSuffix(out.String(), "msg=\"lines dropped\" count=1200\nlast\n") {
			t.Errorf("log ends in %q, want a count of 1200 dropped lines and then the last line", out.String()[out.Len()-80:])
		}
	})
}
