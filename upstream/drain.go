package upstream

import "sync/atomic"

// drainState tells whether the upstream refuses new attempts because the configuration
// drains it. The zero value admits them.
type drainState struct {
	active atomic.Bool
}

// SetDrain makes the server refuse new attempts while drain is set. Attempts admitted
// before are completed.
func (s *Server) SetDrain(drain bool) {
	if s.drain.active.Swap(drain) == drain {
		return
	}
	text := "open"
	if drain {
		text = "drain"
	}
	s.record(EventDrain, text)
}
