package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
)

// Pattern: a backlog after an outage. Those that can be on time go first, the newest
// of them before the others, then those about to be lost, then late ones.
func TestBoardOrdersBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 1)
		holder := take(t, b, dispatch.Request{Grouped: true})
		now := time.Now()
		asks := map[string]dispatch.Request{
			"late": {
				SoftDeadline: now.Add(-time.Second),
				Deadline:     now.Add(5 * time.Second),
			},
			"fresh": {
				SoftDeadline: now.Add(time.Second),
				Deadline:     now.Add(5 * time.Second),
			},
			"fresher": {
				SoftDeadline: now.Add(time.Second),
				Deadline:     now.Add(5 * time.Second),
			},
			"nearly lost": {
				SoftDeadline:   now.Add(-time.Second),
				Deadline:       now.Add(200 * time.Millisecond),
				MinServiceTime: 50 * time.Millisecond,
			},
		}
		served := make(chan string, len(asks))
		for _, name := range []string{"late", "fresh", "nearly lost", "fresher"} {
			time.Sleep(time.Millisecond)
			ask := asks[name]
			ask.Service = service
			ask.Grouped = true
			go func() {
				ticket, err := b.Acquire(t.Context(), ask)
				if err != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
				served <- name
				ticket.Release(dispatch.Report{Outcome: dispatch.Answered})
			}()
			synctest.Wait()
		}
		holder.Release(dispatch.Report{Outcome: dispatch.Answered})
		for _, want := range []string{"fresher", "fresh", "nearly lost", "late"} {
			if got := <-served; got != want {
				t.Errorf("%q was served, want %q", got, want)
			}
		}
	})
}

// Requests that are never late, such as bookings, are served in the order in which
// they came.
func TestBoardKeepsOrderWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 1)
		holder := take(t, b, dispatch.Request{Grouped: true})
		served := make(chan int, 3)
		for i := range cap(served) {
			go func() {
				ticket, err := b.Acquire(t.Context(), dispatch.Request{
					Service: service,
					Grouped: true,
				})
				if err != nil {
					t.Errorf("request %d: %v", i, err)
					return
				}
				served <- i
				ticket.Release(dispatch.Report{Outcome: dispatch.Answered})
			}()
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		holder.Release(dispatch.Report{Outcome: dispatch.Answered})
		for want := range cap(served) {
			if got := <-served; got != want {
				t.Errorf("request %d was served, want %d", got, want)
			}
		}
	})
}

// Pattern: overload. What cannot be served in its time is refused at once, not at
// its deadline.
func TestBoardRefusesHopelessAtOnce(t *testing.T) {
	tests := map[string]dispatch.Request{
		"too little time for the answer": {
			Deadline:       time.Now().Add(time.Second),
			MinServiceTime: 2 * time.Second,
		},
		"caller leaves before the first event": {
			AbandonAt:        time.Now().Add(100 * time.Millisecond),
			TimeToFirstEvent: 200 * time.Millisecond,
		},
	}
	for name, ask := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBoard(1, 1)
			ask.Service = service
			ask.Grouped = true
			began := time.Now()
			_, err := b.Acquire(t.Context(), ask)
			if !errors.Is(err, dispatch.ErrOverloaded) {
				t.Errorf("got error %v, want %v", err, dispatch.ErrOverloaded)
			}
			if took := time.Since(began); took > 50*time.Millisecond {
				t.Errorf("refused after %v", took)
			}
		})
	}
}

// Pattern: few requests come for a while, then some at once. How few came before tells
// nothing of how many can be served, so that none is refused.
func TestBoardDoesNotJudgeByIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 2)
		for range 10 {
			take(t, b, dispatch.Request{Grouped: true}).Release(dispatch.Report{Outcome: dispatch.Answered})
			time.Sleep(time.Second)
		}
		failed := make(chan error, 8)
		for range cap(failed) {
			go func() {
				ticket, err := b.Acquire(t.Context(), dispatch.Request{
					Service:          service,
					Grouped:          true,
					AbandonAt:        time.Now().Add(2 * time.Second),
					TimeToFirstEvent: 180 * time.Millisecond,
				})
				if err == nil {
					time.Sleep(400 * time.Millisecond)
					ticket.Release(dispatch.Report{Outcome: dispatch.Answered})
				}
				failed <- err
			}()
			synctest.Wait()
		}
		for range cap(failed) {
			err := <-failed
			if err != nil {
				t.Errorf("a request that could be served: %v", err)
			}
		}
	})
}

// Pattern: a backlog of late requests. They leave some slots free, so that one that can
// be on time does not wait for them.
func TestBoardKeepsSlotsFromLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ranks, slots, reserved = 2, 12, 2
		b := newBoard(ranks, slots)
		got := 0
		for range ranks * slots {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			_, err := b.Acquire(ctx, dispatch.Request{
				Service:      service,
				Grouped:      true,
				SoftDeadline: time.Now().Add(-time.Second),
			})
			cancel()
			if err == nil {
				got++
			}
		}
		if want := ranks * (slots - reserved); got < want || got > want+ranks {
			t.Errorf("%d late requests were sent to %d slots, want %d to %d", got, ranks*slots, want, want+ranks)
		}
		take(t, b, dispatch.Request{
			Grouped:      true,
			SoftDeadline: time.Now().Add(time.Second),
		})
	})
}

// Pattern: lasting overload. Once a backlog has told how many can be served, a request
// that would wait for too long is refused at once.
func TestBoardRefusesBehindBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(1, 1)
		for range 30 { // each takes 0.4 s, so that the last would be served after 12 s
			go func() {
				ticket, err := b.Acquire(t.Context(), dispatch.Request{
					Service: service,
					Grouped: true,
				})
				if err == nil {
					time.Sleep(400 * time.Millisecond)
					ticket.Release(dispatch.Report{Outcome: dispatch.Answered})
				}
			}()
		}
		time.Sleep(time.Second)
		began := time.Now()
		_, err := b.Acquire(t.Context(), dispatch.Request{
			Service:   service,
			Grouped:   true,
			AbandonAt: time.Now().Add(2 * time.Second),
		})
		if !errors.Is(err, dispatch.ErrOverloaded) || time.Since(began) > 0 {
			t.Errorf("after %s: %v, want %v at once", time.Since(began), err, dispatch.ErrOverloaded)
		}
		time.Sleep(20 * time.Second)
	})
}
