package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// tableServers is the table in which workers register themselves.
const tableServers = "servers"

// Arrival is a request that reached a worker.
type Arrival struct {
	ID     string
	Worker string
	At     time.Time
	// Turned is set if the worker turned it away, Cut if the worker ended while it ran.
	Turned, Cut bool
}

// Worker is a stand-in of a worker of a plain service.
type Worker struct {
	ID      string
	Service string
	Zone    string
	// Work answers a request after the worker has begun to run it; nil stands for plainWork.
	Work func(w http.ResponseWriter, r *http.Request)
	// Turn returns for how long the worker wants nothing from the machine that sends a
	// request; zero means that the worker takes it. It may be nil.
	Turn   func(id string) time.Duration
	Record *Record
	Store  *Store

	born    int64
	address string
	running atomic.Int64
	leaving atomic.Bool

	mu       sync.Mutex
	server   *http.Server
	ended    chan struct{}
	arrivals []*Arrival
}

// slots is the number of slots of each worker.
const slots = 6

// Start starts the worker on a loopback address and registers it.
func (w *Worker) Start(host string) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.serve(listener)
	return nil
}

// serve begins a lifetime of the worker.
func (w *Worker) serve(listener net.Listener) {
	w.mu.Lock()
	w.born = time.Now().UnixMilli()
	w.ended = make(chan struct{})
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.Register("ready")
}

// end returns what is closed as the present lifetime ends.
func (w *Worker) end() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// Register writes the entry of the worker.
func (w *Worker) Register(state string) uint64 {
	version := w.Store.Put(tableServers, w.ID, map[string]any{
		"service":         w.Service,
		"address":         w.address,
		"zone":            w.Zone,
		"version":         "v1",
		"slots":           slots,
		"state":           state,
		"coldRemainingMs": 0,
		"sequence":        0,
		"born":            w.born,
	})
	w.Record.Add("registered", "worker", w.ID, "state", state, "ver", version)
	return version
}

// Leave lets the worker say in all its answers that it leaves.
func (w *Worker) Leave() {
	w.leaving.Store(true)
}

// End ends the worker: its channels close, and what it runs is cut.
func (w *Worker) End() {
	w.Record.Add("ends", "worker", w.ID, "running", w.running.Load())
	w.mu.Lock()
	close(w.ended)
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// Arrivals returns the requests that reached the worker.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Arrival
	for _, a := range w.arrivals {
		all = append(all, *a)
	}
	return all
}

// ServeHTTP answers a request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	out.Header().Set("Request-Id", id)
	out.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), slots))
	if w.leaving.Load() {
		out.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.health(out)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.ID {
		out.Header().Set("Instance-Id", w.ID)
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &Arrival{
		ID:     id,
		Worker: w.ID,
		At:     time.Now(),
	}
	if w.Turn != nil {
		pause := w.Turn(id)
		if pause > 0 {
			a.Turned = true
			w.add(a)
			w.Record.Add("turned-away", "worker", w.ID, "request", id, "retry-after", pause.Seconds())
			out.Header().Set("Not-Executed", "1")
			out.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	w.add(a)
	w.Record.Add("runs", "worker", w.ID, "request", id, "path", r.URL.Path)
	w.running.Add(1)
	defer w.running.Add(-1)
	out.Header().Set("Response-Stamp", "stamp."+w.ID+"."+id)
	if w.Work != nil {
		w.Work(out, r)
		return
	}
	w.plainWork(out, id, a)
}

// add records an arrival.
func (w *Worker) add(a *Arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

// workTime is how long a worker runs a request.
const workTime = 100 * time.Millisecond

// plainWork runs a request and answers it whole, unless the worker ends before.
func (w *Worker) plainWork(out http.ResponseWriter, id string, a *Arrival) {
	select {
	case <-time.After(workTime):
	case <-w.end():
		w.mu.Lock()
		a.Cut = true
		w.mu.Unlock()
		w.Record.Add("cut", "worker", w.ID, "request", id)
		panic(http.ErrAbortHandler)
	}
	body := "done " + id + " by " + w.ID + "\n"
	out.Header().Set("Content-Type", "text/plain")
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Record.Add("ran", "worker", w.ID, "request", id)
	_, _ = out.Write([]byte(body))
}

// health answers a status check.
func (w *Worker) health(out http.ResponseWriter) {
	out.Header().Set("Instance-Id", w.ID)
	if w.leaving.Load() {
		out.WriteHeader(http.StatusServiceUnavailable)
	}
}
