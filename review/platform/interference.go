package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case in which clients read slowly.
const (
	interferenceTime = 40 * time.Second
	longAnswer       = 6_000_000
	slowReadBytes    = 4 << 10
	slowReadPause    = 20 * time.Millisecond
	hupInterval      = 4 * time.Second
	configApply      = 2 * time.Second
)

// interference has clients with long answers, which they read slowly if there is trouble,
// beside clients with streams and bookings. The entry gets SIGHUP meanwhile, which is planned
// work.
func interference(b *bench) (bool, error) {
	err := b.begin(1, 3, 24)
	if err != nil {
		return false, err
	}
	until := time.Now().Add(interferenceTime)
	var wg sync.WaitGroup
	b.repeat(&wg, 24, until, 50*time.Millisecond, func(c *client) {
		c.send("once", http.MethodPost, "/once/1", "prompt", 8*time.Second, 2*time.Second)
	})
	b.repeat(&wg, 4, until, 400*time.Millisecond, func(c *client) {
		c.send("unsafe", http.MethodPost, "/unsafe/800/x", "order", 2500*time.Millisecond, 2500*time.Millisecond)
	})
	b.repeat(&wg, 6, until, 500*time.Millisecond, func(c *client) {
		if b.trouble {
			c.bufferBytes, c.readBytes, c.pause = slowReadBytes, slowReadBytes, slowReadPause
		}
		c.send("safe", http.MethodGet, fmt.Sprintf("/safe/%d/x", longAnswer), "", 2500*time.Millisecond, 2500*time.Millisecond)
	})
	var signals []time.Time
	for time.Now().Add(hupInterval).Before(until) {
		time.Sleep(hupInterval)
		signals = append(signals, time.Now())
		b.entries[0].signal(syscall.SIGHUP)
		b.record.printf("SIGHUP to %s", b.entries[0].name)
	}
	wg.Wait()
	return judgeInterference(b, signals), nil
}

// judgeInterference counts what rule LOST speaks of.
func judgeInterference(b *bench, signals []time.Time) bool {
	lost, cut, untold, served := 0, 0, 0, make(map[string]int)
	for _, made := range b.calls.all {
		b.record.printf("%s; runs at %d workers", made, len(b.runs.get(made.id)))
		if made.kind == "safe" {
			continue
		}
		if made.whole && made.status == http.StatusOK {
			served[made.kind]++
			continue
		}
		passedOn := len(b.runs.get(made.id)) > 0
		if made.kind == "unsafe" && passedOn && made.status == http.StatusBadGateway {
			untold++
		}
		if made.left || made.whole || !passedOn {
			continue
		}
		cut++
		for _, at := range signals {
			if made.sent.After(at) && made.sent.Before(at.Add(configApply)) {
				lost++
				b.record.printf("LOST: %s, sent %s after SIGHUP", made.id, made.sent.Sub(at).Round(time.Millisecond))
			}
		}
	}
	b.record.printf("served %v; %d channels ended without a complete answer after the request was passed on to a sound worker, "+
		"%d of them sent within %s after SIGHUP; %d bookings ran at sound workers and were answered 502",
		served, cut, lost, configApply, untold)
	return lost > 0
}
