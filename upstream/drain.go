package upstream

import "sync/atomic"

// door tells whether the configuration lets new work in. The zero value does.
type door struct {
	closed atomic.Bool
}

// SetDrain refuses new attempts while drain is set. Attempts that were admitted
// before run to their end.
func (s *Server) SetDrain(drain bool) {
	if s.door.closed.Swap(drain) == drain {
		return
	}
	text := "open"
	if drain {
		text = "drain"
	}
	s.record(EventDrain, text)
}
