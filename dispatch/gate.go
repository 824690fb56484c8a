package dispatch

import "time"

const (
	// probePause is the time between two requests sent to a broken group.
	probePause = 120 * time.Millisecond
	// probeTimeout is how long such a request may take before another is sent.
	probeTimeout = 300 * time.Millisecond
	// firstOutage is how long a group is taken to be broken until it has been once:
	// a crashed rank is back after some seconds.
	firstOutage = 3 * time.Second
	// outageWeight is the weight of the last outage in the usual one.
	outageWeight = 0.5
	// maxOutage bounds what is learnt of one.
	maxOutage = 6 * time.Second
)

// gate keeps requests from a group that does not work. The zero value lets all
// pass.
type gate struct {
	// broken tells that the group refused the last request; until then nothing
	// is sent to it, and then one request at a time.
	broken bool
	until  time.Time
	// since is when it broke, usual how long it usually does; zero if not known.
	since time.Time
	usual time.Duration
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

// breakUntil records that the group refused a request now.
func (g *gate) breakUntil(until, now time.Time) {
	if !g.broken {
		g.since = now
	}
	g.broken = true
	g.until = until
}

// outage returns how much longer the group will likely be broken.
func (g *gate) outage(now time.Time) time.Duration {
	if !g.broken {
		return 0
	}
	usual := g.usual
	if usual == 0 {
		usual = firstOutage
	}
	return max(0, usual-now.Sub(g.since))
}

// open records that the group works again.
func (g *gate) open(now time.Time) {
	if !g.broken {
		return
	}
	g.broken = false
	took := min(now.Sub(g.since), maxOutage)
	if g.usual == 0 {
		g.usual = took
		return
	}
	g.usual += time.Duration(outageWeight * float64(took-g.usual))
}

// ended records how a request to a broken group went.
func (g *gate) ended(probe bool, outcome Outcome, now time.Time) {
	if !probe {
		return
	}
	g.probed = time.Time{}
	if outcome == Answered {
		g.open(now)
		return
	}
	g.breakUntil(now.Add(probePause), now)
}
