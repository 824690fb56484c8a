package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
)

// A backlog is left after an outage. Requests that can be on time must be served
// first, the newest of them before the others, then late ones that can soon no
// longer be served, then other late ones.
func TestSchedulerOrdersBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1, 1)
		holder := reserve(t, s, dispatch.Request{Grouped: true})
		now := time.Now()
		requests := map[string]dispatch.Request{
			"late": {
				SoftDeadline: now.Add(-time.Second),
				Deadline:     now.Add(5 * time.Second),
			},
			"on time, older": {
				SoftDeadline: now.Add(time.Second),
				Deadline:     now.Add(5 * time.Second),
			},
			"on time, newer": {
				SoftDeadline: now.Add(time.Second),
				Deadline:     now.Add(5 * time.Second),
			},
			"last chance": {
				SoftDeadline:   now.Add(-time.Second),
				Deadline:       now.Add(200 * time.Millisecond),
				MinServiceTime: 50 * time.Millisecond,
			},
		}
		served := make(chan string, len(requests))
		for _, name := range []string{"late", "on time, older", "last chance", "on time, newer"} {
			time.Sleep(time.Millisecond)
			request := requests[name]
			request.Service = service
			request.Grouped = true
			go func() {
				reservation, err := s.Acquire(t.Context(), request)
				if err != nil {
					t.Errorf("Acquire for the %q request: %v", name, err)
					return
				}
				served <- name
				reservation.Release(dispatch.Report{Outcome: dispatch.Answered})
			}()
			synctest.Wait()
		}
		holder.Release(dispatch.Report{Outcome: dispatch.Answered})
		for _, want := range []string{"on time, newer", "on time, older", "last chance", "late"} {
			if got := <-served; got != want {
				t.Errorf("%q was served, want %q", got, want)
			}
		}
	})
}

// Requests without a soft deadline, such as bookings, must be served in the order of
// their arrival.
func TestSchedulerServesOldestFirstWithoutSoftDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1, 1)
		holder := reserve(t, s, dispatch.Request{Grouped: true})
		served := make(chan int, 3)
		for i := range cap(served) {
			go func() {
				reservation, err := s.Acquire(t.Context(), dispatch.Request{
					Service: service,
					Grouped: true,
				})
				if err != nil {
					t.Errorf("Acquire for request %d: %v", i, err)
					return
				}
				served <- i
				reservation.Release(dispatch.Report{Outcome: dispatch.Answered})
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

// In an overload, a request that cannot be served in time must be refused at once
// and not at its deadline.
func TestSchedulerRefusesUnservableAtOnce(t *testing.T) {
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
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(1, 1)
			request.Service = service
			request.Grouped = true
			began := time.Now()
			_, err := s.Acquire(t.Context(), request)
			if !errors.Is(err, dispatch.ErrOverloaded) {
				t.Errorf("got error %v, want %v", err, dispatch.ErrOverloaded)
			}
			if took := time.Since(began); took > 50*time.Millisecond {
				t.Errorf("refused after %v, want at most 50 ms", took)
			}
		})
	}
}

// Few requests come for a while, then several at once. The low rate before measures
// the arrivals and not what can be served, so that no request may be refused because
// of it.
func TestSchedulerIgnoresRateOfIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1, 2)
		for range 10 {
			reserve(t, s, dispatch.Request{Grouped: true}).Release(dispatch.Report{Outcome: dispatch.Answered})
			time.Sleep(time.Second)
		}
		failed := make(chan error, 8)
		for range cap(failed) {
			go func() {
				reservation, err := s.Acquire(t.Context(), dispatch.Request{
					Service:          service,
					Grouped:          true,
					AbandonAt:        time.Now().Add(2 * time.Second),
					TimeToFirstEvent: 180 * time.Millisecond,
				})
				if err == nil {
					time.Sleep(400 * time.Millisecond)
					reservation.Release(dispatch.Report{Outcome: dispatch.Answered})
				}
				failed <- err
			}()
			synctest.Wait()
		}
		for range cap(failed) {
			err := <-failed
			if err != nil {
				t.Errorf("a request that could be served was refused: %v", err)
			}
		}
	})
}

// A backlog of late requests must leave some slots free, so that a request that can
// still be on time does not wait for them.
func TestSchedulerReservesSlotsFromLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ranks, slots, reserved = 2, 12, 2
		s := newScheduler(ranks, slots)
		got := 0
		for range ranks * slots {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			_, err := s.Acquire(ctx, dispatch.Request{
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
		reserve(t, s, dispatch.Request{
			Grouped:      true,
			SoftDeadline: time.Now().Add(time.Second),
		})
	})
}

// In a lasting overload, the backlog shows the rate at which requests are served. A
// request that would wait for too long at that rate must be refused at once.
func TestSchedulerRefusesBehindBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1, 1)
		for range 30 { // each runs for 0.4 s, so that the last would end after 12 s
			go func() {
				reservation, err := s.Acquire(t.Context(), dispatch.Request{
					Service: service,
					Grouped: true,
				})
				if err == nil {
					time.Sleep(400 * time.Millisecond)
					reservation.Release(dispatch.Report{Outcome: dispatch.Answered})
				}
			}()
		}
		time.Sleep(time.Second)
		began := time.Now()
		_, err := s.Acquire(t.Context(), dispatch.Request{
			Service:   service,
			Grouped:   true,
			AbandonAt: time.Now().Add(2 * time.Second),
		})
		if !errors.Is(err, dispatch.ErrOverloaded) || time.Since(began) > 0 {
			t.Errorf("Acquire returned %v after %s, want %v at once", err, time.Since(began), dispatch.ErrOverloaded)
		}
		time.Sleep(20 * time.Second) // until all requests have ended
	})
}
