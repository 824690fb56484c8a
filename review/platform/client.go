package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// call is one client attempt with what the client saw.
type call struct {
	id, kind, path, entry string
	// kept is set if the channel had carried a request before.
	kept        bool
	sent, ended time.Time
	status      int
	// bytes is the number of bytes of the answer that arrived, whole whether it was complete.
	bytes int
	whole bool
	// left is set if the client gave up and closed the channel itself.
	left bool
	// failure is why the answer ended early.
	failure string
	// foreign is set if the answer belongs to another request or is not the worker's.
	foreign bool
}

// String returns the line of the record.
func (c *call) String() string {
	return fmt.Sprintf("%s %s at %s: status %d, %d bytes, whole %v, kept channel %v, client left %v, after %s %s",
		c.kind, c.id, c.entry, c.status, c.bytes, c.whole, c.kept, c.left, c.ended.Sub(c.sent).Round(time.Millisecond), c.failure)
}

// client is a client with one channel at a time.
type client struct {
	name     string
	address  func() string
	entryOf  func(address string) string
	calls    *calls
	conn     net.Conn
	reader   *bufio.Reader
	requests int
	number   int
	// bufferBytes, if it is not zero, is the size of the receive buffer of its channels, and
	// pause the time between two reads of readBytes.
	bufferBytes, readBytes int
	pause                  time.Duration
}

// calls holds all calls that have ended, and the entry of each that was sent.
type calls struct {
	mu      sync.Mutex
	all     []*call
	entries map[string]string
}

// sentTo records the entry to which a request goes.
func (l *calls) sentTo(id, entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[id] = entry
}

// entryOf returns the entry to which a request was sent.
func (l *calls) entryOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[id]
}

func (l *calls) add(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, c)
}

// requestNumber numbers the requests of all clients.
var requestNumber atomic.Int64

// newID returns a new Request-Id.
func newID() string {
	return fmt.Sprintf("%08x%08x", uint32(os.Getpid()), requestNumber.Add(1))
}

// close ends the channel of the client.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// open opens a channel if there is none.
func (c *client) open() error {
	if c.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.Dial("tcp", c.address())
	if err != nil {
		return err
	}
	if c.bufferBytes > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(c.bufferBytes)
	}
	c.conn = conn
	c.reader = bufio.NewReader(&slowReader{client: c})
	c.requests = 0
	return nil
}

// slowReader reads from the channel of a client as fast as that reads.
type slowReader struct {
	client *client
	got    int
}

func (r *slowReader) Read(p []byte) (int, error) {
	c := r.client
	if c.pause > 0 {
		time.Sleep(c.pause)
		p = p[:min(len(p), c.readBytes)]
	}
	n, err := c.conn.Read(p)
	r.got += n
	return n, err
}

// send sends one request and reads its answer. patience is the longest gap before and between
// bytes of the answer for which the client waits.
func (c *client) send(kind, method, path, body string, deadline, patience time.Duration) *call {
	made := &call{
		id:   newID(),
		kind: kind,
		path: path,
	}
	defer func() {
		made.ended = time.Now()
		c.calls.add(made)
		if !made.whole {
			c.close()
		}
	}()
	made.sent = time.Now()
	if err := c.open(); err != nil {
		made.failure = "no channel: " + err.Error()
		return made
	}
	made.entry = c.entryOf(c.conn.RemoteAddr().String())
	c.calls.sentTo(made.id, made.entry)
	made.kept = c.requests > 0
	c.requests++
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n",
		method, path, host, made.id, deadline.Milliseconds(), apiKey)
	if method == http.MethodPost {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	made.sent = time.Now()
	if _, err := io.WriteString(c.conn, request+"\r\n"+body); err != nil {
		made.failure = "not sent: " + err.Error()
		return made
	}
	c.read(made, method, made.sent.Add(deadline), patience)
	return made
}

// read reads the answer to a request.
func (c *client) read(made *call, method string, until time.Time, patience time.Duration) {
	wait := func() {
		at := time.Now().Add(patience)
		if until.Before(at) {
			at = until
		}
		_ = c.conn.SetReadDeadline(at)
	}
	wait()
	_, err := c.reader.Peek(1)
	if err != nil {
		c.fail(made, err)
		return
	}
	made.bytes++
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.fail(made, err)
		return
	}
	made.status = response.StatusCode
	var got strings.Builder
	p := make([]byte, 32<<10)
	for {
		wait()
		n, err := response.Body.Read(p)
		got.Write(p[:n])
		made.bytes += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			c.fail(made, err)
			return
		}
	}
	made.whole = true
	made.foreign = response.Header.Get("Request-Id") != made.id && response.Header.Get("Response-Stamp") != ""
	if made.status == http.StatusOK {
		made.foreign = made.foreign || response.Header.Get("Response-Stamp") == "" || !rightBody(made, got.String())
	}
	if response.Close {
		c.close()
	}
}

// rightBody reports whether a body is the worker's whole body.
func rightBody(made *call, got string) bool {
	if made.kind != "stream" && made.kind != "once" {
		return got == plainBody(made.id, made.path)
	}
	var want strings.Builder
	for n := 1; n <= streamEvents; n++ {
		want.WriteString(streamText(made.id, n))
	}
	return got == want.String()
}

// fail records why an answer ended early.
func (c *client) fail(made *call, err error) {
	made.failure = err.Error()
	made.left = errors.Is(err, os.ErrDeadlineExceeded)
}
