package fallback

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Paths of the requests to a fallback store.
const (
	PathRead    = "/fallback/read"
	PathChanges = "/fallback/changes"
	PathWrite   = "/fallback/write"
)

const (
	// rowTTL is how long a fallback store keeps a row, or the removal of one, after it was written.
	rowTTL = 10 * time.Minute
	// maxRows is the number of rows and removals that a fallback store keeps. Further ones are
	// refused.
	maxRows = 1 << 12
	// maxWait bounds the wait for changes.
	maxWait = 30 * time.Second
	// maxRequestBytes bounds a request.
	maxRequestBytes = 1 << 20
)

// version numbers the changes of a fallback store.
type version uint64

// incarnation identifies the process that keeps a fallback store.
type incarnation uint64

// row is a row of a fallback store.
type row struct {
	Name    string `json:"name"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// writeRequest writes and removes rows.
type writeRequest struct {
	Rows []row `json:"rows"`
}

// changesRequest asks for the rows that changed after a version of an incarnation. The
// store answers once there are some, or after Wait.
type changesRequest struct {
	Incarnation incarnation   `json:"incarnation"`
	After       version       `json:"after"`
	Wait        time.Duration `json:"wait"`
}

// rowsReply holds rows and the version from which to ask for changes.
type rowsReply struct {
	Incarnation incarnation `json:"incarnation"`
	Version     version     `json:"version"`
	Rows        []row       `json:"rows"`
}

// storedRow is a row with the version and the time of its last change.
type storedRow struct {
	row
	version   version
	writtenAt time.Time
}

// Store keeps rows in memory. The zero value is empty. A Store must not be copied after
// first use.
type Store struct {
	mu          sync.Mutex
	incarnation incarnation
	version     version
	rows        map[string]storedRow
	// changed is closed and replaced at each change. It is nil while nobody waits.
	changed chan struct{}
}

// Register adds the handlers of the fallback store.
func (s *Store) Register(handle func(pattern string, handler http.HandlerFunc, methods ...string)) {
	handle(PathRead, s.serveRead, http.MethodPost)
	handle(PathChanges, s.serveChanges, http.MethodPost)
	handle(PathWrite, s.serveWrite, http.MethodPost)
}

// start sets the incarnation at the first use. The caller holds mu.
func (s *Store) start() {
	if s.incarnation == 0 {
		s.incarnation = incarnation(1 + rand.Uint64N(1<<62))
		s.rows = make(map[string]storedRow)
	}
}

// write writes rows. Rows that are the same already are no change. It returns false if
// the fallback store is full.
func (s *Store) write(rows []row, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start()
	s.expire(now)
	changed := false
	for _, r := range rows {
		old, ok := s.rows[r.Name]
		if ok && old.Deleted == r.Deleted {
			continue
		}
		if !ok && len(s.rows) >= maxRows {
			return false
		}
		s.version++
		s.rows[r.Name] = storedRow{
			row:       r,
			version:   s.version,
			writtenAt: now,
		}
		changed = true
	}
	if changed && s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return true
}

// expire drops rows that are older than rowTTL. The caller holds mu.
func (s *Store) expire(now time.Time) {
	for name, r := range s.rows {
		if now.Sub(r.writtenAt) > rowTTL {
			delete(s.rows, name)
		}
	}
}

// after returns the rows that changed after a version, and a channel that is closed at
// the next change.
func (s *Store) after(v version) (rowsReply, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	reply := rowsReply{
		Incarnation: s.incarnation,
		Version:     s.version,
	}
	for _, r := range s.rows {
		if r.version > v {
			reply.Rows = append(reply.Rows, r.row)
		}
	}
	return reply, s.changed
}

// serveRead answers with all rows.
func (s *Store) serveRead(w http.ResponseWriter, _ *http.Request) {
	reply, _ := s.after(0)
	writeReply(w, reply)
}

// serveChanges answers with the rows that changed, as soon as there are some. It answers
// with status 410 if the request is for another incarnation.
func (s *Store) serveChanges(w http.ResponseWriter, r *http.Request) {
	var request changesRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	timer := time.NewTimer(min(request.Wait, maxWait))
	defer timer.Stop()
	for {
		reply, changed := s.after(request.After)
		if reply.Incarnation != request.Incarnation {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(reply.Rows) > 0 {
			writeReply(w, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeReply(w, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serveWrite writes and removes rows.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var request writeRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	if !s.write(request.Rows, time.Now()) {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// decodeRequest decodes the body of a request. If that fails, it answers with status 400
// and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// writeReply answers a request with a message.
func writeReply(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message) // without an answer the caller repeats the request
}
