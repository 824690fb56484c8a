package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Pattern: a group that is nearly idle, then held once. Its streams tell the time of
// a pass; neither the pauses without requests nor the one stop count.
func TestBoardPass(t *testing.T) {
	const pass = 60 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(2, 12)
		if got := b.PassTime(service); got != 0 {
			t.Errorf("a pass takes %s before any was seen, want 0", got)
		}
		for range 4 {
			time.Sleep(500 * time.Millisecond) // without requests there are no passes
			for range 3 {
				time.Sleep(pass)
				b.ObserveEventGap(service, pass)
				b.ObserveEventGap(service, pass) // a second stream
			}
		}
		time.Sleep(1400 * time.Millisecond)
		b.ObserveEventGap(service, 1400*time.Millisecond)
		if got := b.PassTime(service); got != pass {
			t.Errorf("a pass takes %s, want %s", got, pass)
		}
		time.Sleep(time.Minute)
		if got := b.PassTime(service); got != 0 {
			t.Errorf("a pass takes %s a minute after the last, want 0", got)
		}
	})
}
