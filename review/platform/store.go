package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// id returns what identifies a row.
func (r row) id() string {
	return r.Table + "\x00" + r.Part + "\x00" + r.Key
}

// store is a sound stand-in of the platform's store, as PROTOCOL.md has it.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{
		rows:    make(map[string]row),
		changed: make(chan struct{}),
		began:   time.Now(),
	}
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{
		Table: table,
		Key:   key,
		Value: data,
	}}, nil)
}

// apply makes the changes of one transaction. The caller holds mu.
func (s *store) apply(writes, remove []row) {
	s.version++
	for _, r := range writes {
		r.Version = s.version
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		delete(s.rows, r.id())
		r.Value = nil
		r.Deleted = true
		r.Version = s.version
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows":      rows,
		"morePages": more,
		"ver":       version,
		"nowMs":     time.Since(s.began).Milliseconds(),
	})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var rows []row
	for _, one := range s.rows {
		if one.Table == q.Get("table") && one.Part == q.Get("part") && one.Key >= q.Get("from") &&
			(q.Get("to") == "" || one.Key < q.Get("to")) {
			rows = append(rows, one)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit, version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		var rows []row
		for _, one := range s.history {
			if one.Table == q.Get("table") && one.Version > after {
				rows = append(rows, one)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			s.answer(w, http.StatusOK, rows, false, version)
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

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []row `json:"precondition"`
		Writes       []row `json:"writes"`
		Remove       []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	held := true
	var current []row
	for _, want := range t.Precondition {
		have, ok := s.rows[want.id()]
		held = held && have.Version == want.Version
		if ok {
			current = append(current, have)
		}
	}
	if held {
		s.apply(t.Writes, t.Remove)
		current = nil
	}
	version := s.version
	s.mu.Unlock()
	status := http.StatusOK
	if !held {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, current, false, version)
}

// serve answers the calls of the store on an address.
func (s *store) serve(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	listener, err := listen(address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}
