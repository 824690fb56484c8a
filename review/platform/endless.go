package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	endlessTime    = 60 * time.Second
	endlessEntries = 2
	// endlessRate is the rate at which the worker in trouble sends to each entry, in bytes a
	// second over all its channels: somewhat less than the link of a front machine takes.
	endlessRate  = linkBytes * 9 / 10
	endlessChunk = 64 << 10
	// streamPatience is four times the objective of the streams, 1,000 ms: the gap after which
	// clients abandon a stream.
	streamPatience = 4 * time.Second
	// lostAllowed and endsAllowed are the bounds of rule LOST and of the fault.
	lostAllowed = 3
	endsAllowed = 2
)

// pacer shares a rate among channels.
type pacer struct {
	mu   sync.Mutex
	next time.Time
}

// wait waits until n more bytes may be sent.
func (p *pacer) wait(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / endlessRate * float64(time.Second)))
	at := p.next
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// sendWithoutEnd sends a text again and again until the other end closes the channel.
func sendWithoutEnd(t *work, p *pacer, text string) {
	chunk := strings.Repeat(text, endlessChunk/len(text))
	for {
		p.wait(len(chunk))
		_, err := io.WriteString(t.conn, chunk)
		if err != nil {
			return
		}
	}
}

// endlessHead answers with a head that has no end.
func endlessHead(w *worker, t *work, p *pacer) {
	_, _ = io.WriteString(t.conn, w.head(t.id)+"X-Rubbish: ")
	sendWithoutEnd(t, p, strings.Repeat("q", 128))
}

// endlessBody answers with the head of a stream and a body of lines that has no end and no
// event.
func endlessBody(w *worker, t *work, p *pacer) {
	_, _ = fmt.Fprintf(t.conn, "%sContent-Type: text/event-stream\r\n\r\n", w.head(t.id))
	sendWithoutEnd(t, p, strings.Repeat("q", 100)+"\n")
}

// endless has one worker of four that sends bytes without end in place of answers, if there is
// trouble, beside sound ones.
func endless(b *bench, misbehave func(w *worker, t *work, p *pacer)) (bool, error) {
	err := b.begin(endlessEntries, 4, 12)
	if err != nil {
		return false, err
	}
	bad := b.workers[0]
	if b.trouble {
		links := make(map[string]*pacer)
		for _, e := range b.entries {
			links[e.name] = &pacer{}
		}
		bad.trouble = func(t *work, one *run) bool {
			one.trouble = true
			misbehave(bad, t, links[b.calls.entryOf(t.id)])
			return true
		}
	}
	until := time.Now().Add(endlessTime)
	var wg sync.WaitGroup
	b.repeat(&wg, 8, until, 100*time.Millisecond, func(c *client) {
		c.send("stream", http.MethodPost, "/stream/1", "prompt", 8*time.Second, streamPatience)
	})
	b.repeat(&wg, 12, until, 100*time.Millisecond, func(c *client) {
		c.send("unsafe", http.MethodPost, "/unsafe/800/x", "order", 2500*time.Millisecond, 2500*time.Millisecond)
	})
	wg.Wait()
	return judgeEndless(b)
}

// judgeEndless counts what rule LOST and the fault speak of.
func judgeEndless(b *bench) (bool, error) {
	lost, served := 0, make(map[string]int)
	for _, made := range b.calls.all {
		sound := false
		for _, one := range b.runs.get(made.id) {
			sound = sound || !one.trouble
		}
		b.record.printf("%s; runs at %d workers, at a sound one: %v", made, len(b.runs.get(made.id)), sound)
		if made.whole && made.status == http.StatusOK {
			served[made.kind]++
		}
		if made.foreign {
			b.record.printf("foreign: %s", made.id)
		}
		if made.kept && sound && made.bytes == 0 && !made.left && !made.whole {
			lost++
			b.record.printf("LOST: %s", made.id)
		}
	}
	ended := 0
	for _, e := range b.entries {
		b.record.printf("%s: peak of %d MB, ended %d times", e.name, e.peak>>20, len(e.kills))
		if len(e.kills) > endsAllowed {
			ended++
		}
	}
	b.record.printf("served %v; %d requests from kept channels were passed on to a sound worker and ended without an answer; "+
		"%d of %d machines ended three times and more", served, lost, ended, len(b.entries))
	if len(served) == 0 {
		return false, errors.New("nothing was served")
	}
	return lost > lostAllowed || ended >= 2, nil
}
