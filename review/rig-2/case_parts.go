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
	// readTime is how long a worker reads a prompt before it begins to write.
	readTime = 60 * time.Millisecond
	// partPieces and partGap are the number of events of an answer and the pause between them.
	partPieces = 8
	partGap    = 50 * time.Millisecond
	downtime   = 3 * time.Second
	// crashDelay is the time from the first event to the crash.
	crashDelay = 20 * time.Millisecond
	partsTime  = 45 * time.Second
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

// deadlyWork answers with a stream. If the prompt holds the deadly part it calls crash before the
// first event or, if begun is set, crashDelay after it. crash may be nil.
func deadlyWork(w *Worker, begun bool, crash func()) func(http.ResponseWriter, *http.Request) {
	return func(out http.ResponseWriter, r *http.Request) {
		id, end := r.Header.Get("Request-Id"), w.end()
		deadly := crash != nil && strings.Contains(r.Header.Get("Prefix-Hash"), deadlyPart)
		time.Sleep(readTime)
		if deadly && !begun {
			crash()
		}
		out.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(out)
		for i := range partPieces {
			select {
			case <-time.After(partGap):
			case <-end:
				w.Record.Add("cut", "worker", w.ID, "request", id, "events", i)
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
			fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", i+1, i+1, id)
			_ = flush.Flush()
			if deadly && begun && i == 0 {
				time.Sleep(crashDelay)
				crash()
			}
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
	for i := range 6 {
		w := &Worker{
			ID:      fmt.Sprintf("i-0%c", 'a'+i),
			Service: serviceLedger,
		}
		crash := func() {
			crashes.add()
			w.Crash(downtime)
		}
		if !c.Trouble {
			crash = nil // the part does no harm
		}
		w.Work = deadlyWork(w, begun, crash)
		err := c.addWorker(w)
		if err != nil {
			return false, err
		}
	}
	err := c.start(3)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
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
	return c.judgeParts(deadly, sound, crashes.times), nil
}

// judgeParts judges the rule BUDGET about parts that crash workers.
func (c *Case) judgeParts(deadly map[string]*Call, sound []*Call, crashes []time.Time) bool {
	whole := 0
	for _, call := range sound {
		if call.Whole && call.Status == http.StatusOK {
			whole++
		}
	}
	reached := 0
	if len(crashes) >= crashesToJudge {
		from := crashes[crashesToJudge-1].Add(contactTime)
		for _, w := range c.Workers {
			for _, a := range w.Arrivals() {
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
