package quarantine

import (
	"net/http"
	"time"
)

// Survived reports whether a complete answer with a status shows that its upstream survives
// the request. An error does not: the upstream may give one before it begins to run what
// would crash it.
func Survived(status int) bool {
	return status < http.StatusBadRequest
}

// servedLog holds when requests ran to their end, or parts of prompts began to be
// answered, for the last maxServed of them. The zero value is empty.
type servedLog struct {
	at map[Fingerprint]time.Time
	// ring holds the fingerprints in the order in which they were added, next the place
	// of the next one.
	ring []Fingerprint
	next int
}

// add records that a request or part was served now. If the log is full, it forgets the
// one that was added first.
func (s *servedLog) add(key Fingerprint) {
	if s.at == nil {
		s.at = make(map[Fingerprint]time.Time)
	}
	_, known := s.at[key]
	s.at[key] = time.Now()
	if known {
		return
	}
	if len(s.ring) < maxServed {
		s.ring = append(s.ring, key)
		return
	}
	delete(s.at, s.ring[s.next])
	s.ring[s.next] = key
	s.next = (s.next + 1) % maxServed
}

// has reports whether a request or part was served within ttl.
func (s *servedLog) has(key Fingerprint, ttl time.Duration) bool {
	_, ok := s.age(key, ttl)
	return ok
}

// age returns how long ago a request or part was served, and false if that was not within
// ttl.
func (s *servedLog) age(key Fingerprint, ttl time.Duration) (time.Duration, bool) {
	at, ok := s.at[key]
	age := time.Since(at)
	return age, ok && age < ttl
}
