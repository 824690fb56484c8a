package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["silent"] = playSilent
}

// Times of the case, from the moment at which the channels to the store go silent.
const (
	silentDrainAt = 600 * time.Millisecond
	silentCallsAt = contactTime + 50*time.Millisecond
	// silentEndAt is half a second more than the drain time after the worker has reported that it
	// drains.
	silentEndAt   = silentDrainAt + drainTime + 560*time.Millisecond
	silentCallEnd = contactTime + 800*time.Millisecond
	silentCallGap = 25 * time.Millisecond
)

// playSilent lets the channels to the store that are open go silent for good while the workers
// of a service are replaced. All entries are calm again contactMs later, and new channels work.
// A worker that has left by then must get no requests.
func playSilent(c *Case) (bool, error) {
	c.putConfig(1)
	for _, id := range []string{"i-0a", "i-0b", "i-0c"} {
		err := c.addWorker(&Worker{
			ID:      id,
			Service: serviceLedger,
		})
		if err != nil {
			return false, err
		}
	}
	err := c.start(5)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c.callAll(c.Entries, 3, 50*time.Millisecond)
	time.Sleep(time.Second)
	// The release: the new worker starts first, the old one drains.
	err = c.addWorker(&Worker{
		ID:      "i-0d",
		Service: serviceLedger,
	})
	if err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	if c.Trouble {
		for _, e := range c.Entries {
			n := e.Store.Silence()
			c.Record.Add("channels-to-the-store-go-silent", "entry", e.Name, "channels", n)
		}
	}
	old := c.Workers[0]
	sleepUntil(began.Add(silentDrainAt))
	old.Leave()
	old.Register("draining")
	confirmed := time.Now()
	sleepUntil(began.Add(silentCallsAt))
	go func() {
		sleepUntil(began.Add(silentEndAt))
		old.End()
	}()
	calls := c.callAll(c.Entries, int((silentCallEnd-silentCallsAt)/silentCallGap), silentCallGap)
	return c.judgeDrain(old, calls, confirmed.Add(drainTime), began.Add(contactTime)), nil
}

// sleepUntil sleeps until a time.
func sleepUntil(at time.Time) {
	time.Sleep(time.Until(at))
}

// callAll sends n bookings to each entry, one each gap, and returns them once all are answered.
func (c *Case) callAll(entries []*Entry, n int, gap time.Duration) []*Call {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var calls []*Call
	for _, e := range entries {
		wg.Go(func() {
			began := time.Now()
			for i := range n {
				sleepUntil(began.Add(time.Duration(i) * gap))
				call := newCall(e, http.MethodPost, pathBook+"order", 2500*time.Millisecond)
				mu.Lock()
				calls = append(calls, call)
				mu.Unlock()
				wg.Go(func() { call.do(e, c.Record) })
			}
		})
	}
	wg.Wait()
	return calls
}

// judgeDrain judges the rule DRAIN: no request that a client sent later than a bound, to a
// machine that is in touch from a time on, reaches the worker. It reports whether it is broken.
func (c *Case) judgeDrain(w *Worker, calls []*Call, bound, inTouch time.Time) bool {
	sent := make(map[string]*Call, len(calls))
	for _, call := range calls {
		sent[call.ID] = call
	}
	late, lost := 0, 0
	entries := make(map[string]int)
	for _, a := range w.Arrivals() {
		call, ok := sent[a.ID]
		if !ok || !call.Sent.After(bound) || !call.Sent.After(inTouch) {
			continue
		}
		late++
		entries[call.Entry]++
		if a.Cut {
			lost++
			c.Record.Add("lost", "request", a.ID, "entry", call.Entry, "worker", w.ID, "status", call.Status)
		}
		c.Record.Add("late", "request", a.ID, "entry", call.Entry, "worker", w.ID,
			"after-bound-ms", a.At.Sub(bound).Milliseconds(), "in-touch-for-ms", call.Sent.Sub(inTouch).Milliseconds())
	}
	c.Record.Say(fmt.Sprintf("bookings sent: %d; that reached %s later than drainTimeoutMs after its leaving was confirmed, from machines in touch: %d (by entry: %v), of them cut as it ended: %d",
		len(calls), w.ID, late, entries, lost))
	return late > 0
}
