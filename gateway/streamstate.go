package gateway

import (
	"errors"
	"fmt"
	"time"
)

// errNotResumed means that the response to a stream that was sent again does not go on after
// the last event that the caller has.
var errNotResumed = errors.New("upstream did not resume the stream")

// streamState is the state of the stream that is sent to the caller.
type streamState struct {
	headerSent bool
	// lastEventID is the ID of the last event sent.
	lastEventID int64
	// unnumbered is set if an event without an ID was sent: the stream cannot be resumed
	// after it. stepped is set if the IDs did not go up by one.
	unnumbered, stepped bool
	// lastSent is when the last event was sent, longestGap the longest gap between two
	// events.
	lastSent   time.Time
	longestGap time.Duration
}

// begun reports whether the caller has an event of the stream.
func (s *streamState) begun() bool {
	return s.lastEventID > 0 || s.unnumbered
}

// checkResumed returns errNotResumed if the first event that a further upstream adds to the
// stream does not follow the last one. Events that the caller has are skipped elsewhere.
func (s *streamState) checkResumed(e event) error {
	if !e.hasContent || e.id > 0 && e.id <= s.lastEventID {
		return nil
	}
	if e.id <= 0 || !s.stepped && e.id != s.lastEventID+1 {
		return fmt.Errorf("%w: event %d came after %d", errNotResumed, e.id, s.lastEventID)
	}
	return nil
}

// recordEvent records that an event was sent. It returns the gap since the
// previous event, and false if there was none.
func (s *streamState) recordEvent(id int64, now time.Time) (time.Duration, bool) {
	s.unnumbered = s.unnumbered || id <= 0
	s.stepped = s.stepped || s.lastEventID > 0 && id != s.lastEventID+1
	s.lastEventID = max(id, s.lastEventID)
	gap, ok := s.sinceLastEvent(now)
	s.longestGap = max(s.longestGap, gap)
	s.lastSent = now
	return gap, ok
}

// sinceLastEvent returns the time since the last event, and false if there was
// none.
func (s *streamState) sinceLastEvent(now time.Time) (time.Duration, bool) {
	if s.lastSent.IsZero() {
		return 0, false
	}
	return now.Sub(s.lastSent), true
}
