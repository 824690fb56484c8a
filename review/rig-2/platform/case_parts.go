package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["parts-begun"] = func(c *Case) (bool, error) {
		result, err := playParts(c, 2, true)
		return result.lost(), err
	}
	cases["parts-long"] = func(c *Case) (bool, error) {
		result, err := playParts(c, 16, false)
		return result.lost(), err
	}
}

// Parts of prompts, and times of the case.
const (
	// deadlyPart crashes each worker that begins to write an answer on it; otherPart stands in
	// its place in sound requests.
	deadlyPart = "dead0001"
	otherPart  = "50a9d001"
	// partRanks is the number of ranks.
	partRanks = 6
	downtime  = 3 * time.Second
	// crashDelay is the time from the first event to the crash.
	crashDelay = 20 * time.Millisecond
	partsTime  = 80 * time.Second
	soundEach  = 80 * time.Millisecond
	deadlyEach = 700 * time.Millisecond
	// crashesToJudge is the number of crashes after which the rules hold.
	crashesToJudge = 5
	// soundToJudge is the number of sound requests that are needed to judge, and calmBefore the
	// time before the first request with the part comes.
	soundToJudge = 20
	calmBefore   = 5 * time.Second
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
func playParts(c *Case, shared int, begun bool) (partsResult, error) {
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
	err := c.startGroup(group, partRanks, deadlyWrite(begun, crash))
	if err != nil {
		return partsResult{}, err
	}
	err = c.start(3)
	if err != nil {
		return partsResult{}, err
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
	time.Sleep(calmBefore)
	wg.Go(func() { press(deadlyPart, deadlyEach) })
	wg.Wait()
	return c.judgeParts(group, deadly, sound, crashes.times, began.Add(calmBefore)), nil
}

// share counts sound requests and those of them that began at the first attempt.
type share struct {
	sent, begun int
}

// add counts a request.
func (s *share) add(call *Call) {
	s.sent++
	if strings.Contains(call.Body, "data:") {
		s.begun++
	}
}

// partsResult is what was seen in a run of a case about parts.
type partsResult struct {
	crashes int
	// late is the number of requests with the part that reached ranks, sent later than contactMs
	// after the fifth crash.
	late int
	// before counts the sound requests before those with the part came, after the ones from
	// 2 x contactMs after the fifth crash, or the last, while those came.
	before, after share
}

// lost reports whether the rule LOST about them is broken: sound requests with the same key and
// first part begin less than half as often as before.
func (r partsResult) lost() bool {
	return r.crashes > 0 && r.before.sent >= soundToJudge && r.after.sent >= soundToJudge &&
		2*r.after.begun*r.before.sent < r.before.begun*r.after.sent
}

// judgeParts counts what the rules about parts that crash workers are about. from is when the
// requests with the part began to come.
func (c *Case) judgeParts(group *Group, deadly map[string]*Call, sound []*Call, crashes []time.Time, from time.Time) partsResult {
	result := partsResult{crashes: len(crashes)}
	last := time.Time{}
	for _, call := range deadly {
		if call.Sent.After(last) {
			last = call.Sent
		}
	}
	judged := last
	if len(crashes) > 0 {
		judged = crashes[min(len(crashes), crashesToJudge)-1].Add(2 * contactTime)
	}
	whole := 0
	for _, call := range sound {
		if call.Whole && call.Status == http.StatusOK {
			whole++
		}
		switch {
		case call.Sent.Before(from.Add(-time.Second)): // what ends before the others come
			result.before.add(call)
		case call.Sent.After(judged) && call.Sent.Before(last):
			result.after.add(call)
		}
	}
	if len(crashes) >= crashesToJudge {
		bound := crashes[crashesToJudge-1].Add(contactTime)
		for _, r := range group.Ranks {
			for _, a := range r.arrivals {
				call, ok := deadly[a.ID]
				if ok && call.Sent.After(bound) && a.At.After(bound) {
					result.late++
				}
			}
		}
	}
	c.Record.Say(fmt.Sprintf("requests with the part: %d; crashes: %d; that reached ranks, sent later than contactMs after the fifth: %d; sound requests that began, before: %d of %d, from 2 x contactMs after the fifth or last crash: %d of %d; answered whole in all: %d of %d",
		len(deadly), len(crashes), result.late, result.before.begun, result.before.sent, result.after.begun, result.after.sent, whole, len(sound)))
	return result
}
