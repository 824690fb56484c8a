package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["stop"] = playStop
}

// Times of the case, from the SIGTERM, and of the streams.
const (
	stopDialAt = time.Second
	stopSendAt = 3200 * time.Millisecond
	// pieceGap is the pause between the events of a stream, within the 120 ms of the sheet.
	pieceGap = 100 * time.Millisecond
	// usualPieces is the mean number of events on the sheet, longPieces less than the most there.
	usualPieces = 28
	longPieces  = 65
	// cutSlack is what the rule allows beyond graceS.
	cutSlack = time.Second
)

// piecesHeader tells the stand-in worker how long a stream is.
const piecesHeader = "X-Pieces"

// streamWork answers a request with a stream of numbered events.
func streamWork(w *Worker) func(http.ResponseWriter, *http.Request) {
	return func(out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		n, err := strconv.Atoi(r.Header.Get(piecesHeader))
		if err != nil {
			n = usualPieces
		}
		out.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(out)
		for i := range n {
			select {
			case <-time.After(pieceGap):
			case <-r.Context().Done():
				w.Record.Add("stream-cut-by-caller", "worker", w.ID, "request", id, "events", i)
				return
			}
			fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", i+1, i+1, id)
			_ = flush.Flush()
		}
		w.Record.Add("ran", "worker", w.ID, "request", id, "events", n)
	}
}

// newDraft returns a request for a stream.
func newDraft(e *Entry, pieces int) *Call {
	call := newCall(e, http.MethodPost, pathDraft+"note", 8*time.Second)
	call.Extra = fmt.Sprintf("Model: m\r\nToken-Usage: 674,%d\r\nLength-Hint: %d\r\n%s: %d\r\n", 5*longPieces, 5*usualPieces, piecesHeader, pieces)
	return call
}

// playStop stops an entry as planned. A client has opened a channel before the entry refuses new
// ones, and sends its request on it more than 3 s after the SIGTERM. The entry may refuse it, but
// once it has passed it on the answer has to come whole.
func playStop(c *Case) (bool, error) {
	c.putConfig(1)
	for _, id := range []string{"i-0a", "i-0b"} {
		w := &Worker{
			ID:      id,
			Service: serviceLedger,
		}
		w.Work = streamWork(w)
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
	e := c.Entries[0]
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() { newDraft(e, usualPieces).do(e, c.Record) })
	}
	wg.Wait()
	began := time.Now()
	if c.Trouble {
		e.signal(syscall.SIGTERM)
		c.Record.Add("SIGTERM", "entry", e.Name)
	}
	sleepUntil(began.Add(stopDialAt))
	conn, err := net.Dial("tcp", e.Callers)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	c.Record.Add("channel-opened", "entry", e.Name)
	sleepUntil(began.Add(stopSendAt))
	call := newDraft(e, longPieces)
	call.send(conn, c.Record)
	ended := time.Since(began)
	passedOn := 0
	for _, w := range c.Workers {
		for _, a := range w.Arrivals() {
			if a.ID == call.ID {
				passedOn++
			}
		}
	}
	c.Record.Say(fmt.Sprintf("request sent %s after the SIGTERM; passed on to workers: %d; ended after %s with status %d, whole: %t (%d bytes)",
		call.Sent.Sub(began).Round(time.Millisecond), passedOn, ended.Round(time.Millisecond), call.Status, call.Whole, len(call.Body)))
	return passedOn > 0 && !call.Whole && ended < graceTime+cutSlack, nil
}
