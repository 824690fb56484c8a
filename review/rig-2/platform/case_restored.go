package main

import (
	"fmt"
	"time"
)

func init() {
	cases["restored"] = playRestored
}

// Times of the case, from the moment of the copy.
const (
	restoredLeaveAt = 500 * time.Millisecond
	restoredAwayAt  = 4 * time.Second
	restoredBackAt  = 5 * time.Second
	restoredCallsAt = restoredBackAt + contactTime + 50*time.Millisecond
	restoredEndAt   = restoredCallsAt + 110*time.Millisecond
	// restoredLapse is when the entry of the worker that has left is removed again: nobody has
	// written there for three heartbeat intervals.
	restoredLapse   = restoredBackAt + 3*heartbeat
	restoredCallEnd = restoredLapse
	restoredCallGap = 25 * time.Millisecond
)

// playRestored lets a worker leave whose entry is removed, and the store come back later from a
// copy that still has the entry. Entries that have acknowledged that the worker is gone must
// send nothing more to it.
func playRestored(c *Case) (bool, error) {
	c.putConfig(1)
	for _, id := range []string{"i-0a", "i-0b", "i-0c", "i-0d"} {
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
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	copied := c.Store.Copy()
	c.Record.Add("copy-of-the-store", "ver", copied.version)
	sleepUntil(began.Add(restoredLeaveAt))
	old := c.Workers[0]
	old.Leave()
	version := c.Store.Remove(tableServers, old.ID)
	confirmed := time.Now()
	c.Record.Add("entry-removed", "worker", old.ID, "ver", version)
	// The entries acknowledge the removal: their next feeds begin after it.
	sleepUntil(began.Add(restoredAwayAt))
	for _, e := range c.Entries {
		if !c.Store.Acknowledged(e.Name, version) {
			return false, fmt.Errorf("%s has not acknowledged that %s is gone", e.Name, old.ID)
		}
	}
	if c.Trouble {
		c.Store.SetAway(true)
		c.Record.Add("store-away")
		sleepUntil(began.Add(restoredBackAt))
		c.Store.Restore(copied)
		c.Record.Add("store-back", "ver", copied.version)
		go func() {
			// What the operator and the workers wrote is written again.
			time.Sleep(100 * time.Millisecond)
			c.putConfig(1)
			for _, w := range c.Workers[1:] {
				time.Sleep(100 * time.Millisecond)
				w.Register("ready")
			}
			sleepUntil(began.Add(restoredLapse))
			c.Store.Remove(tableServers, old.ID)
			c.Record.Add("entry-removed", "worker", old.ID)
		}()
	}
	sleepUntil(began.Add(restoredCallsAt))
	go func() {
		sleepUntil(began.Add(restoredEndAt))
		old.End()
	}()
	calls := c.callAll(c.Entries, int((restoredCallEnd-restoredCallsAt)/restoredCallGap), restoredCallGap)
	return c.judgeDrain(old, calls, confirmed.Add(drainTime), began.Add(restoredBackAt+contactTime)), nil
}
