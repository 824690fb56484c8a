package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// work is what a worker does with a request.
type work struct {
	conn net.Conn
	w    *bufio.Writer
	r    *http.Request
	id   string
	// closed is closed when the other end has closed the channel.
	closed <-chan struct{}
}

// run is one run of a request at a worker.
type run struct {
	worker string
	at     time.Time
	// answered is set once the worker has written its whole answer.
	answered atomic.Bool
	// began is set once the worker has written a part of its answer.
	began atomic.Bool
	// trouble is set if the worker was in trouble.
	trouble bool
}

// runs holds the runs of all workers by the ID of the request.
type runs struct {
	mu sync.Mutex
	of map[string][]*run
}

func (l *runs) add(id, worker string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := &run{
		worker: worker,
		at:     time.Now(),
	}
	l.of[id] = append(l.of[id], one)
	return one
}

func (l *runs) get(id string) []*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of[id]
}

// worker is a worker that works alone, as PROTOCOL.md has it.
type worker struct {
	name, service, zone, address string
	slots                        int
	runs                         *runs
	// trouble, if it is set, may answer a request in place of the worker. It returns false if
	// it does not.
	trouble func(w *work, one *run) bool
	running atomic.Int64
}

// start registers the worker and serves its address.
func (w *worker) start(s *store) error {
	w.address = freeAddress()
	listener, err := listen(w.address)
	if err != nil {
		return err
	}
	s.put("servers", w.name, map[string]any{
		"service":         w.service,
		"address":         w.address,
		"zone":            w.zone,
		"version":         "v1",
		"slots":           w.slots,
		"state":           "ready",
		"coldRemainingMs": 0,
		"sequence":        1,
		"born":            time.Now().UnixMilli(),
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return nil
}

// watchedReader reads from a channel and tells when the other end has closed it.
type watchedReader struct {
	conn   net.Conn
	chunks chan []byte
	rest   []byte
	closed chan struct{}
}

func newWatchedReader(conn net.Conn) *watchedReader {
	r := &watchedReader{
		conn:   conn,
		chunks: make(chan []byte, 1024),
		closed: make(chan struct{}),
	}
	go func() {
		defer close(r.chunks)
		defer close(r.closed)
		for {
			p := make([]byte, 4096)
			n, err := conn.Read(p)
			if n > 0 {
				r.chunks <- p[:n]
			}
			if err != nil {
				return
			}
		}
	}()
	return r
}

func (r *watchedReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		chunk, ok := <-r.chunks
		if !ok {
			return 0, io.EOF
		}
		r.rest = chunk
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// serve serves one channel.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	watched := newWatchedReader(conn)
	reader := bufio.NewReader(watched)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, request.Body)
		if err != nil {
			return
		}
		if !w.answer(conn, watched.closed, request) {
			return
		}
	}
}

// answer answers one request. It returns false if the channel has to be closed.
func (w *worker) answer(conn net.Conn, closed <-chan struct{}, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	out := bufio.NewWriter(conn)
	if r.Header.Get("Expect-Instance") != w.name {
		fmt.Fprintf(out, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.name)
		return out.Flush() == nil
	}
	if id == "" {
		fmt.Fprint(out, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return out.Flush() == nil
	}
	if w.running.Add(1) > int64(w.slots) {
		w.running.Add(-1)
		fmt.Fprintf(out, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", id, w.load())
		return out.Flush() == nil
	}
	defer w.running.Add(-1)
	one := w.runs.add(id, w.name)
	task := &work{
		conn:   conn,
		w:      out,
		r:      r,
		id:     id,
		closed: closed,
	}
	if w.trouble != nil && w.trouble(task, one) {
		return false
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/stream/"), strings.HasPrefix(r.URL.Path, "/once/"):
		return w.stream(task, one)
	default:
		return w.plain(task, one)
	}
}

func (w *worker) load() string {
	return fmt.Sprintf("%d,0,%d", min(w.running.Load(), int64(w.slots)), w.slots)
}

// head returns the lines of the header that all answers have.
func (w *worker) head(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\nServer-Load: %s\r\nKeep-Alive: timeout=15\r\n",
		id, w.name, id, w.load())
}

// plainBody is the body of the answer to a request that is not a stream. The path says its
// length: /safe/BYTES/...
func plainBody(id, path string) string {
	parts := strings.Split(path, "/")
	size := 800
	if len(parts) > 2 {
		n, err := strconv.Atoi(parts[2])
		if err == nil {
			size = n
		}
	}
	line := "answer to " + id + "\n"
	return strings.Repeat(line, size/len(line)+1)
}

// plain answers after some 30 ms of work.
func (w *worker) plain(t *work, one *run) bool {
	if !t.work(time.Duration(15+rand.IntN(30)) * time.Millisecond) {
		return false
	}
	body := plainBody(t.id, t.r.URL.Path)
	fmt.Fprintf(t.w, "%sContent-Length: %d\r\n\r\n%s", w.head(t.id), len(body), body)
	if t.w.Flush() != nil {
		return false
	}
	one.began.Store(true)
	one.answered.Store(true)
	return true
}

// Figures of the streams of saft-router.
const (
	streamEvents = 28
	firstEvent   = 140 * time.Millisecond
	eventGap     = 60 * time.Millisecond
)

// streamText returns the events of a stream from one on.
func streamText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, strings.Repeat("x", 40))
}

// stream answers with a series of events.
func (w *worker) stream(t *work, one *run) bool {
	from, _ := strconv.Atoi(t.r.Header.Get("Last-Event-Id"))
	if !t.work(firstEvent) {
		return false
	}
	fmt.Fprintf(t.w, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", w.head(t.id))
	for n := from + 1; n <= streamEvents; n++ {
		text := streamText(t.id, n)
		fmt.Fprintf(t.w, "%x\r\n%s\r\n", len(text), text)
		if t.w.Flush() != nil {
			return false
		}
		one.began.Store(true)
		if !t.work(eventGap) {
			return false
		}
	}
	fmt.Fprint(t.w, "0\r\n\r\n")
	if t.w.Flush() != nil {
		return false
	}
	one.answered.Store(true)
	return true
}

// work waits for a time. It returns false as soon as the other end closes the channel: the
// worker drops the request then.
func (t *work) work(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.closed:
		return false
	}
}
