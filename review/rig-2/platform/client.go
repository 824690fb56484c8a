package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Host and key that the config of the cases has.
const (
	callerHost = "fleet.example"
	callerKey  = "n2ctnfzs989anu6wsjnb"
	tenantName = "hule930"
)

// lastID is the number of the last request.
var lastID atomic.Int64

// Call is a request of a client and its answer.
type Call struct {
	ID       string
	Entry    string
	Method   string
	Path     string
	Deadline time.Duration
	// Extra holds further lines of the header.
	Extra string

	Sent   time.Time
	Status int
	// Body is what came of the body, Whole is set if that was all of it.
	Body  string
	Whole bool
	Err   error
}

// newCall returns a request to an entry.
func newCall(e *Entry, method, path string, deadline time.Duration) *Call {
	return &Call{
		ID:       fmt.Sprintf("%016x", 0x1c41000000000000+lastID.Add(1)),
		Entry:    e.Name,
		Method:   method,
		Path:     path,
		Deadline: deadline,
	}
}

// text returns the request as it is sent.
func (c *Call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n%s",
		c.Method, c.Path, callerHost, c.ID, c.Deadline.Milliseconds(), callerKey, c.Extra)
	if c.Method == http.MethodPost {
		b.WriteString("Content-Length: 5\r\n\r\norder")
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}

// send sends the request on a channel and reads the answer.
func (c *Call) send(conn net.Conn, record *Record) {
	c.Sent = time.Now()
	record.Add("sent", "request", c.ID, "entry", c.Entry, "path", c.Path)
	_ = conn.SetDeadline(time.Now().Add(c.Deadline))
	_, c.Err = io.WriteString(conn, c.text())
	if c.Err == nil {
		c.read(conn)
	}
	record.Add("answered", "request", c.ID, "entry", c.Entry, "path", c.Path, "status", c.Status,
		"whole", c.Whole, "bytes", len(c.Body), "err", fmt.Sprintf("%q", fmt.Sprint(c.Err)))
}

// read reads the answer.
func (c *Call) read(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.Method})
	if err != nil {
		c.Err = err
		return
	}
	c.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	c.Body = string(body)
	c.Err = err
	c.Whole = err == nil
}

// do sends the request on a new channel.
func (c *Call) do(e *Entry, record *Record) {
	conn, err := net.DialTimeout("tcp", e.Callers, time.Second)
	if err != nil {
		c.Sent = time.Now()
		c.Err = err
		record.Add("not-sent", "request", c.ID, "entry", c.Entry, "err", fmt.Sprintf("%q", err.Error()))
		return
	}
	defer conn.Close()
	c.send(conn, record)
}
