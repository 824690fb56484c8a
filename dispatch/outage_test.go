package dispatch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
)

// outageGroup is a group whose status an entry hears each 0.3 s.
type outageGroup struct {
	scheduler *dispatch.Scheduler
	broken    atomic.Bool
}

// newOutageGroup returns a group that works, of which the entry knows the ranks.
func newOutageGroup(t *testing.T) *outageGroup {
	t.Helper()
	g := &outageGroup{scheduler: newScheduler(4, 12)}
	loads := make(map[foxtailstack.Address]dispatch.RankLoad)
	for i := range 4 {
		loads[rankAddress(i)] = dispatch.RankLoad{Slowdown: 1}
	}
	g.scheduler.ObserveGroup(service, groupName, loads, 0)
	return g
}

// run tells the entry the state of the group until ctx ends.
func (g *outageGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.scheduler.ObserveFormation(service, groupName, g.broken.Load(), 20*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against callers' requests that are used to find out whether a broken group works
// again: each try counts against the retry budget, and once that is spent the request is
// refused though it could have waited. The status tells when the group works.
func TestStatusOfBrokenGroupReplacesProbes(t *testing.T) {
	const outage = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newOutageGroup(t)
		first := reserve(t, g.scheduler, dispatch.Request{Grouped: true})
		g.broken.Store(true)
		first.Release(dispatch.Report{Outcome: dispatch.GroupBroken})
		go g.run(ctx)
		time.Sleep(10 * time.Millisecond)
		var sent atomic.Int64
		began := time.Now()
		for range 20 {
			go func() {
				request := dispatch.Request{
					Service: service,
					Grouped: true,
				}
				reservation, err := g.scheduler.Acquire(ctx, request)
				if err != nil {
					return
				}
				sent.Add(1)
				if g.broken.Load() {
					reservation.Release(dispatch.Report{Outcome: dispatch.GroupBroken})
					t.Errorf("a request was sent %s after the group broke", time.Since(began))
				}
			}()
		}
		time.Sleep(outage)
		g.broken.Store(false)
		time.Sleep(400 * time.Millisecond)
		synctest.Wait()
		if n := sent.Load(); n != 20 {
			t.Errorf("%d of 20 requests were sent within 0.4 s after the group worked again", n)
		}
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// Guards against an entry that no status reaches any more, whose requests would wait for ever
// for a group that works again: it probes as before.
func TestBrokenGroupIsProbedWithoutStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newOutageGroup(t)
		g.scheduler.ObserveFormation(service, groupName, true, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := g.scheduler.Acquire(ctx, dispatch.Request{
			Service: service,
			Grouped: true,
		})
		if err != nil {
			t.Errorf("no probe within 3 s after the last status: %v", err)
		}
		time.Sleep(time.Minute) // lets all timers end
	})
}

// Guards against a status that is older than the refusal that broke the group, and against one
// that tells of the outage before the group worked again.
func TestOldStatusOfGroupIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newOutageGroup(t)
		time.Sleep(time.Second)
		reserve(t, g.scheduler, dispatch.Request{Grouped: true}).Release(dispatch.Report{Outcome: dispatch.GroupBroken})
		g.scheduler.ObserveFormation(service, groupName, false, 50*time.Millisecond)
		if !g.scheduler.Broken(service) {
			t.Error("a status from before the refusal counts")
		}
		time.Sleep(time.Second)
		g.scheduler.ObserveFormation(service, groupName, false, 50*time.Millisecond)
		if g.scheduler.Broken(service) {
			t.Error("a status from after the refusal does not count")
		}
		g.scheduler.ObserveFormation(service, groupName, true, 200*time.Millisecond)
		if g.scheduler.Broken(service) {
			t.Error("a status from before the group worked again counts")
		}
	})
}

// Guards against requests that wait past the moment at which they can still be served, because
// nothing else happens at the entry while its group is broken.
func TestHopelessRequestIsRefusedDuringOutage(t *testing.T) {
	const patience = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newOutageGroup(t)
		g.broken.Store(true)
		go g.run(ctx)
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		_, err := g.scheduler.Acquire(ctx, dispatch.Request{
			Service:   service,
			Grouped:   true,
			AbandonAt: began.Add(patience),
		})
		var overload *dispatch.OverloadError
		if !errors.As(err, &overload) || !overload.Broken {
			t.Errorf("got error %v, want an overload of a broken group", err)
		}
		if waited := time.Since(began); waited > patience+150*time.Millisecond {
			t.Errorf("refused after %s, want at most %s and a little", waited, patience)
		}
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}

// Guards against requests that each wait for as long as their callers do for a group that has
// been broken for long, such as one that never opened: they are refused at once, and served
// again once it works.
func TestRequestIsRefusedAtOnceInLastingOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := &outageGroup{scheduler: newScheduler(4, 12)}
		g.broken.Store(true)
		reserve(t, g.scheduler, dispatch.Request{Grouped: true}) // while no group is known
		go g.run(ctx)
		time.Sleep(20 * time.Second)
		began := time.Now()
		request := dispatch.Request{
			Service: service,
			Grouped: true,
		}
		_, err := g.scheduler.Acquire(ctx, request)
		var overload *dispatch.OverloadError
		if !errors.As(err, &overload) || time.Since(began) > 0 {
			t.Errorf("got error %v after %s, want an overload at once", err, time.Since(began))
		}
		g.broken.Store(false)
		time.Sleep(400 * time.Millisecond)
		_, err = g.scheduler.Acquire(ctx, request)
		if err != nil {
			t.Errorf("refused after the group worked again: %v", err)
		}
		cancel()
		time.Sleep(time.Minute) // lets all goroutines end
	})
}
