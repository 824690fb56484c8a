package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["parts-begun"] = func(c *Case) (bool, error) { return playParts(c, 2, true) }
	cases["parts-long"] = func(c *Case) (bool, error) { return playParts(c, 16, false) }
}

// Parts of prompts, and times of the case.
const (
	// deadlyPart crashes each worker that begins to write an answer on it; otherPart stands in
	// its place in sound requests.
	deadlyPart = "dead0001"
	otherPart  = "50a9d001"
	// partRanks is the number of ranks, partPieces that of the events of an answer.
	partRanks  = 6
	partPieces = 8
	downtime   = 3 * time.Second
	// crashDelay is the time from the first event to the crash.
	crashDelay = 20 * time.Millisecond
	partsTime  = 80 * time.Second
	soundEach  = 80 * time.Millisecond
	deadlyEach = 700 * time.Millisecond
	// partsAllowed is the number of requests with the part that may reach workers later than
	// contactMs after the crash of crashesToJudge.
	partsAllowed   = 3
	crashesToJudge = 5
)

// partsOf returns the parts of a prompt: a number that all prompts share, the part in question
// and a last one of its own.
func partsOf(shared int, part, id string) string {
	var b strings.Builder
	for i := range shared {
		fmt.Fprintf(&b, "5a%06x:40,", i)
	}
	fmt.Fprintf(&b, "%s:40,%s:200", part, id)
	return b.String()
}

// deadlyWrite returns what a rank does before it writes an event: if the prompt holds the deadly
// part it calls crash before the first event or, if begun is set, crashDelay after it.
func deadlyWrite(begun bool, crash func(r *Rank)) func(r *Rank, request *http.Request, event int) {
	return func(r *Rank, request *http.Request, event int) {
		if !strings.Contains(request.Header.Get("Prefix-Hash"), deadlyPart) {
			return
		}
		switch {
		case !begun && event == 1:
			crash(r)
		case begun && event == 2:
			time.Sleep(crashDelay)
			crash(r)
		}
	}
}

// crashTimes holds the times of crashes.
type crashTimes struct {
	mu    sync.Mutex
	times []time.Time
}

// add records a crash now.
func (c *crashTimes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
}

// playParts lets one part of prompts, after a number of others that all prompts share, crash each
// worker that begins to write an answer on it: before the first event or right after it.
func playParts(c *Case, shared int, begun bool) (bool, error) {
	c.putConfig(1)
	crashes := &crashTimes{}
	crash := func(r *Rank) {
		if c.Trouble && r.Crash(downtime) {
			crashes.add()
		}
	}
	group := &Group{
		Record: c.Record,
		Store:  c.Store,
	}
	var hosts []string
	for i := range partRanks {
		hosts = append(hosts, c.host(100+i))
	}
	err := group.Start(hosts, deadlyWrite(begun, crash))
	if err != nil {
		return false, err
	}
	for _, r := range group.Ranks {
		err = c.startSidecar(r)
		if err != nil {
			return false, err
		}
	}
	err = c.start(3)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	deadly := make(map[string]*Call)
	var sound []*Call
	send := func(e *Entry, part string) {
		call := newCall(e, http.MethodPost, pathDraft+"note", 8*time.Second)
		call.Extra = fmt.Sprintf("Model: m\r\nToken-Usage: 880,40\r\nPrefix-Hash: %s\r\n", partsOf(shared, part, call.ID))
		mu.Lock()
		if part == deadlyPart {
			deadly[call.ID] = call
		} else {
			sound = append(sound, call)
		}
		mu.Unlock()
		wg.Go(func() { call.do(e, c.Record) })
	}
	press := func(part string, each time.Duration) {
		for i := 0; time.Since(began) < partsTime; i++ {
			send(c.Entries[i%len(c.Entries)], part)
			time.Sleep(each)
		}
	}
	wg.Go(func() { press(otherPart, soundEach) })
	time.Sleep(2 * time.Second)
	wg.Go(func() { press(deadlyPart, deadlyEach) })
	wg.Wait()
	return c.judgeParts(group, deadly, sound, crashes.times), nil
}

// judgeParts judges the rule BUDGET about parts that crash workers.
func (c *Case) judgeParts(group *Group, deadly map[string]*Call, sound []*Call, crashes []time.Time) bool {
	whole := 0
	for _, call := range sound {
		if call.Whole && call.Status == http.StatusOK {
			whole++
		}
	}
	reached := 0
	if len(crashes) >= crashesToJudge {
		from := crashes[crashesToJudge-1].Add(contactTime)
		for _, r := range group.Ranks {
			for _, a := range r.arrivals {
				call, ok := deadly[a.ID]
				if ok && call.Sent.After(from) && a.At.After(from) {
					reached++
				}
			}
		}
	}
	c.Record.Say(fmt.Sprintf("requests with the part: %d; crashes: %d; that reached workers later than contactMs after the fifth: %d; sound requests answered whole: %d of %d",
		len(deadly), len(crashes), reached, whole, len(sound)))
	return reached > partsAllowed
}
