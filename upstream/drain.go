package upstream

import "sync/atomic"

// drainState tells whether the upstream refuses new attempts because the configuration
// drains it. The zero value admits them.
type drainState struct {
	active atomic.Bool
}

// SetDrain makes the server refuse new attempts while drain is set. Attempts that have a
// slot are completed; attempts that wait for one are refused when they get it. Unlike
// AdmissionController.Drain, which is final, it can be reverted.
func (s *Server) SetDrain(drain bool) {
	if s.configDrain.active.Swap(drain) == drain {
		return
	}
	text := "open"
	if drain {
		text = "drain"
	}
	s.recordEvent(EventDrain, text)
}
