package quarantine

import (
	"net/http"
	"slices"
	"time"
)

// Survived reports whether a complete answer with a status shows that its upstream survives
// the request. An error does not: the upstream may give one before it begins to run what
// would crash it.
func Survived(status int) bool {
	return status < http.StatusBadRequest
}

// maxCredit is the number of crashes up to which those under a popular request do not count:
// as many upstreams as may end together.
const maxCredit = 8

// servedState is what a servedLog knows of one request or part.
type servedState struct {
	// at is when it was served last.
	at time.Time
	// credit is the number of times that it was served, less the crashes that were
	// discounted for that, from zero to maxCredit.
	credit int
	// discounted holds the last maxCredit of these crashes.
	discounted []CrashID
}

// servedLog holds when requests ran to their end, or parts of prompts began to be
// answered, for the last maxServed of them. The zero value is empty.
type servedLog struct {
	states map[Fingerprint]*servedState
	// ring holds the fingerprints in the order in which they were added, next the place
	// of the next one.
	ring []Fingerprint
	next int
}

// add records that a request or part was served now. If the log is full, it forgets the
// one that was added first.
func (s *servedLog) add(key Fingerprint) {
	if s.states == nil {
		s.states = make(map[Fingerprint]*servedState)
	}
	known, ok := s.states[key]
	if ok {
		known.at = time.Now()
		return
	}
	s.states[key] = &servedState{at: time.Now()}
	if len(s.ring) < maxServed {
		s.ring = append(s.ring, key)
		return
	}
	delete(s.states, s.ring[s.next])
	s.ring[s.next] = key
	s.next = (s.next + 1) % maxServed
}

// give lets one more crash under a request be discounted.
func (s *servedLog) give(key Fingerprint) {
	known, ok := s.states[key]
	if ok {
		known.credit = min(known.credit+1, maxCredit)
	}
}

// has reports whether a request or part was served within ttl.
func (s *servedLog) has(key Fingerprint, ttl time.Duration) bool {
	_, ok := s.age(key, ttl)
	return ok
}

// age returns how long ago a request or part was served, and false if that was not within
// ttl.
func (s *servedLog) age(key Fingerprint, ttl time.Duration) (time.Duration, bool) {
	known, ok := s.states[key]
	if !ok {
		return 0, false
	}
	age := time.Since(known.at)
	return age, age < ttl
}

// discount reports whether a crash under a request does not count, because the request was
// served within ttl and more often than crashes were discounted for it. A crash that was
// discounted once stays so. It returns how long ago the request was served.
func (s *servedLog) discount(key Fingerprint, id CrashID, ttl time.Duration) (time.Duration, bool) {
	age, ok := s.age(key, ttl)
	if !ok {
		return age, false
	}
	known := s.states[key]
	if slices.Contains(known.discounted, id) {
		return age, true
	}
	if known.credit == 0 {
		return age, false
	}
	known.credit--
	if len(known.discounted) == maxCredit {
		known.discounted = known.discounted[1:]
	}
	known.discounted = append(known.discounted, id)
	return age, true
}
