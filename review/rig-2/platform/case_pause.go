package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["pause"] = playPause
}

// Times of the case.
const (
	// pauseTime is how long the worker in need wants nothing.
	pauseTime = 60 * time.Second
	// shortPause replaces it without the disruption.
	shortPause = 20 * time.Second
	// pauseSlack is the time from the answer with which requests may still arrive.
	pauseSlack = 500 * time.Millisecond
	// Clients come together: pauseBurst requests at once at each entry, each pauseGap.
	pauseBurst = 15
	pauseGap   = 500 * time.Millisecond
	// pausedAllowed is the number of requests that may reach the worker meanwhile.
	pausedAllowed = 2
)

// need is a worker that turns requests away until a time.
type need struct {
	until atomic.Int64
}

// turn returns the rest of the time for which the worker wants nothing.
func (n *need) turn(string) time.Duration {
	return max(0, time.Until(time.UnixMilli(n.until.Load())))
}

// playPause lets a worker in need turn requests away and say for how long it wants nothing.
func playPause(c *Case) (bool, error) {
	c.putConfig(1)
	in := &need{}
	for _, id := range []string{"i-0a", "i-0b", "i-0c"} {
		w := &Worker{
			ID:      id,
			Service: serviceLedger,
		}
		if id == "i-0a" {
			w.Turn = in.turn
		}
		err := c.addWorker(w)
		if err != nil {
			return false, err
		}
	}
	err := c.start(2)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	length := pauseTime
	if !c.Trouble {
		length = shortPause
	}
	began := time.Now()
	in.until.Store(began.Add(length).UnixMilli())
	c.Record.Add("in-need", "worker", "i-0a", "for", length)
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent := make(map[string]*Call)
	for _, e := range c.Entries {
		wg.Go(func() {
			for time.Since(began) < length+time.Second {
				for range pauseBurst {
					call := newCall(e, http.MethodGet, pathLook+"status", 2500*time.Millisecond)
					mu.Lock()
					sent[call.ID] = call
					mu.Unlock()
					wg.Go(func() { call.do(e, c.Record) })
				}
				time.Sleep(pauseGap)
			}
		})
	}
	wg.Wait()
	return c.judgePause(c.Workers[0], sent, began.Add(length)), nil
}

// judgePause judges the rule BUDGET: no more than pausedAllowed requests reach the worker from a
// machine between half a second after it has turned away the first one from there and the end of
// the time that it named.
func (c *Case) judgePause(w *Worker, sent map[string]*Call, end time.Time) bool {
	first := make(map[string]time.Time)
	reached := make(map[string]int)
	for _, a := range w.Arrivals() {
		entry := sent[a.ID].Entry
		switch turned, ok := first[entry]; {
		case !ok && a.Turned:
			first[entry] = a.At
		case ok && a.At.After(turned.Add(pauseSlack)) && a.At.Before(end):
			reached[entry]++
			c.Record.Add("unwanted", "request", a.ID, "entry", entry, "worker", w.ID, "after-ms", a.At.Sub(turned).Milliseconds())
		}
	}
	c.Record.Say(fmt.Sprintf("entries that %s turned away: %d; requests that reached it from them meanwhile: %v", w.ID, len(first), reached))
	for _, n := range reached {
		if n > pausedAllowed {
			return true
		}
	}
	return false
}
