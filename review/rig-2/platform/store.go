package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxFeedWait bounds the time for which a feed waits for a change.
const maxFeedWait = 30 * time.Second

// Row is a row of the store on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// id names a row.
func (r Row) id() string {
	return r.Table + "\x00" + r.Part + "\x00" + r.Key
}

// Snapshot is a copy of what a Store holds.
type Snapshot struct {
	rows    map[string]Row
	history []Row
	version uint64
}

// Store is a stand-in of the platform's store with its rows, as PROTOCOL.md describes them.
type Store struct {
	Record *Record

	began time.Time

	mu      sync.Mutex
	held    Snapshot
	era     uint64
	away    bool
	changed chan struct{}
	// known holds the newest version of the list of workers that each caller has asked for
	// changes after, and so has acknowledged.
	known map[string]uint64
}

// Acknowledged reports whether a caller has acknowledged the list of workers of a version.
func (s *Store) Acknowledged(caller string, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[caller] >= version
}

// acknowledge records the version that a caller asks for changes after.
func (s *Store) acknowledge(caller string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = make(map[string]uint64)
	}
	s.known[caller] = max(s.known[caller], version)
}

// Listen serves the store to one caller on an address of its own. The listener tells the
// channels of that caller from those of others.
func (s *Store) Listen(host, caller string) (*StoreListener, error) {
	raw, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	l := &StoreListener{Listener: raw}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.serveFeed(w, r, caller) })
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	go func() { _ = http.Serve(l, s.guard(mux)) }()
	return l, nil
}

// guard answers 503 while the store is away.
func (s *Store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away {
			w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Put writes a row and returns the version of the store.
func (s *Store) Put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are all of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply([]Row{{
		Table: table,
		Key:   key,
		Value: data,
	}}, nil)
}

// Remove drops a row and returns the version of the store.
func (s *Store) Remove(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(nil, []Row{{
		Table: table,
		Key:   key,
	}})
}

// apply makes changes. The caller holds mu.
func (s *Store) apply(writes, remove []Row) uint64 {
	if s.held.rows == nil {
		s.held.rows = make(map[string]Row)
	}
	s.held.version++
	for _, row := range writes {
		row.Version = s.held.version
		s.held.rows[row.id()] = row
		s.held.history = append(s.held.history, row)
	}
	for _, row := range remove {
		delete(s.held.rows, row.id())
		row.Value = nil
		row.Version = s.held.version
		row.Deleted = true
		s.held.history = append(s.held.history, row)
	}
	s.wake()
	return s.held.version
}

// wake lets all feeds look for changes. The caller holds mu.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{
		rows:    maps.Clone(s.held.rows),
		history: slices.Clone(s.held.history),
		version: s.held.version,
	}
}

// SetAway sets whether the store turns all calls away.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// Restore lets the store come back from a copy, in a new era.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = Snapshot{
		rows:    maps.Clone(c.rows),
		history: slices.Clone(c.history),
		version: c.version,
	}
	s.era++
	s.away = false
	s.wake()
}

// answer is the answer to a call about rows.
type answer struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"morePages"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// send sends rows with the version and the era that they are from.
func (s *Store) send(w http.ResponseWriter, status int, rows []Row, version, era uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer{
		Rows:    rows,
		Version: version,
		NowMs:   time.Since(s.began).Milliseconds(),
	})
}

// serveGet serves rows-get. All tables here fit one page.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, to := query.Get("from"), query.Get("to")
	s.mu.Lock()
	rows := []Row{}
	for _, row := range s.held.rows {
		if row.Table == query.Get("table") && row.Part == query.Get("part") && row.Key >= from && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	version, era := s.held.version, s.era
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	s.send(w, http.StatusOK, rows, version, era)
}

// serveFeed serves rows-feed to a caller.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request, caller string) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs")) // none means not to wait
	if query.Get("table") == tableServers {
		s.acknowledge(caller, after)
		s.Record.Add("feed", "caller", caller, "after", after, "wait", wait)
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	over := false
	for {
		s.mu.Lock()
		version, era, away := s.held.version, s.era, s.away
		rows := []Row{}
		for _, row := range s.held.history {
			if row.Table == query.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case away:
			s.send(w, http.StatusServiceUnavailable, nil, version, era)
			return
		case after > version:
			s.send(w, http.StatusGone, nil, version, era)
			return
		case len(rows) > 0 || over:
			s.send(w, http.StatusOK, rows, version, era)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// serveTransaction serves rows-tx.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []Row `json:"precondition"`
		Writes       []Row `json:"writes"`
		Remove       []Row `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusOK
	rows := []Row{}
	for _, want := range t.Precondition {
		row, ok := s.held.rows[want.id()]
		if row.Version != want.Version {
			status = http.StatusPreconditionFailed
		}
		if ok {
			rows = append(rows, row)
		}
	}
	if status == http.StatusOK {
		s.apply(t.Writes, t.Remove)
		rows = []Row{}
	}
	version, era := s.held.version, s.era
	s.mu.Unlock()
	s.send(w, status, rows, version, era)
}

// StoreListener is the address at which one caller reaches the store.
type StoreListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*storeConn
}

// Accept returns the next channel.
func (l *StoreListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &storeConn{
		Conn:   raw,
		closed: make(chan struct{}),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// Silence lets the channels that are open go silent for good, without a reset. New ones work.
// It returns their number.
func (l *StoreListener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.conns {
		if !c.ended.Load() && c.silent.CompareAndSwap(false, true) {
			n++
		}
	}
	return n
}

// storeConn is a channel to the store that may go silent.
type storeConn struct {
	net.Conn

	silent atomic.Bool
	ended  atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read reads from the channel. A silent one brings nothing more.
func (c *storeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the channel. What is written to a silent one is lost.
func (c *storeConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes this end. The other end of a silent channel does not learn of it.
func (c *storeConn) Close() error {
	c.once.Do(func() {
		c.ended.Store(true)
		close(c.closed)
	})
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}
