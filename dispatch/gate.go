package dispatch

import "time"

const (
	// probePause is the time between two requests sent to a broken group.
	probePause = 120 * time.Millisecond
	// probeTimeout is how long such a request may take before another is sent.
	probeTimeout = 300 * time.Millisecond
)

// gate keeps requests from a group that does not work. The zero value lets all
// pass.
type gate struct {
	// broken tells that the group refused the last request; until then nothing
	// is sent to it, and then one request at a time.
	broken bool
	until  time.Time
	// probed is when the last request was sent to a broken group, if its outcome
	// is still open.
	probed time.Time
}

// check returns how long nothing may be sent, and whether what may be sent is a
// probe of a broken group.
func (g *gate) check(now time.Time) (probe bool, wait time.Duration) {
	if !g.broken {
		return false, 0
	}
	if !g.probed.IsZero() {
		wait = g.probed.Add(probeTimeout).Sub(now)
	}
	return true, max(wait, g.until.Sub(now), 0)
}

// breakUntil records that the group refused a request.
func (g *gate) breakUntil(until time.Time) {
	g.broken = true
	g.until = until
}

// ended records how a request to a broken group went.
func (g *gate) ended(probe bool, outcome Outcome, now time.Time) {
	if !probe {
		return
	}
	g.probed = time.Time{}
	if outcome == Answered {
		g.broken = false
		return
	}
	g.breakUntil(now.Add(probePause))
}
