package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["stop"] = playStop
}

// Times of the case, from the SIGTERM, and of the streams.
const (
	// The head of the late request comes while the entry accepts channels, the end of its body
	// more than 3 s after the SIGTERM.
	stopHeadAt = 2500 * time.Millisecond
	stopBodyAt = 4 * time.Second
	// stopPass is the duration of a pass, within the pause of 120 ms of the sheet.
	stopPass = 100 * time.Millisecond
	// usualPieces is the mean number of events on the sheet, longPieces less than the most there.
	usualPieces = 28
	longPieces  = 60
	// cutSlack is what the rule adds to graceS.
	cutSlack = time.Second
)

// newDraft returns a request for a stream. Its client expects usualPieces events.
func newDraft(e *Entry, pieces int) *Call {
	call := newCall(e, http.MethodPost, pathDraft+"note", 8*time.Second)
	call.Extra = fmt.Sprintf("Model: m\r\nToken-Usage: 674,%d\r\nLength-Hint: %d\r\nPrefix-Hash: 5c1e07a2:40,%s:634\r\n%s: %d\r\n",
		5*longPieces, 5*usualPieces, call.ID, piecesHeader, pieces)
	return call
}

// playStop stops an entry as planned while the end of a request is still to come. The entry may
// refuse the request, but once it has passed it on the answer has to come whole.
func playStop(c *Case) (bool, error) {
	c.putConfig(1)
	group := &Group{
		Record:   c.Record,
		Store:    c.Store,
		PassTime: stopPass,
	}
	err := c.startGroup(group, 3, nil)
	if err != nil {
		return false, err
	}
	err = c.start(2)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
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
	sleepUntil(began.Add(stopHeadAt))
	conn, err := net.Dial("tcp", e.Callers)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	call := newDraft(e, longPieces)
	head, body, _ := strings.Cut(call.text(), "\r\n\r\n")
	_ = conn.SetDeadline(time.Now().Add(call.Deadline))
	_, err = io.WriteString(conn, head+"\r\n\r\n")
	if err != nil {
		return false, err
	}
	c.Record.Add("head-sent", "request", call.ID, "entry", e.Name)
	sleepUntil(began.Add(stopBodyAt))
	call.Sent = time.Now()
	_, err = io.WriteString(conn, body)
	if err != nil {
		return false, err
	}
	c.Record.Add("sent", "request", call.ID, "entry", e.Name)
	call.read(conn)
	ended := time.Since(began)
	c.Record.Add("answered", "request", call.ID, "entry", e.Name, "status", call.Status, "whole", call.Whole, "bytes", len(call.Body))
	passedOn := 0
	for _, r := range group.Ranks {
		for _, a := range r.arrivals {
			if a.ID == call.ID {
				passedOn++
			}
		}
	}
	c.Record.Say(fmt.Sprintf("request whose last byte was sent %s after the SIGTERM; passed on to ranks: %d; ended after %s with status %d, whole: %t, %d of %d events",
		call.Sent.Sub(began).Round(time.Millisecond), passedOn, ended.Round(time.Millisecond), call.Status, call.Whole, strings.Count(call.Body, "data:"), longPieces))
	return passedOn > 0 && !call.Whole && ended < graceTime+cutSlack, nil
}
