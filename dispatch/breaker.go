package dispatch

import "time"

const (
	// probeInterval is the time from the report that a group is broken, or from a
	// probe that was not answered, to the next probe.
	probeInterval = 120 * time.Millisecond
	// probeTimeout is the time after which a probe without an outcome no longer
	// holds up the next.
	probeTimeout = 300 * time.Millisecond
	// statusLag is how much later than it seems a status may have been taken: its age leaves
	// out the way here.
	statusLag = 100 * time.Millisecond
	// lastingOutage is the time after which a broken group is not expected to work again
	// while a request waits. Ranks that crash are back sooner.
	lastingOutage = 10 * time.Second
)

// circuitBreaker keeps requests away from a group that does not work. While it is
// open nothing is sent for a time, and then one request at a time, as a probe. The
// zero value is closed and lets all requests pass.
type circuitBreaker struct {
	// open reports that the group was reported broken and no probe has been answered
	// since. Nothing is sent to the group before probeAt.
	open    bool
	probeAt time.Time
	// probeSentAt is the time of the last probe if its outcome is still open, and
	// zero otherwise.
	probeSentAt time.Time
	// closedAt is the time at which the group last began to work again.
	closedAt time.Time
	// brokenSince and trippedAt are the times of the first and of the last sign that the
	// group is broken.
	brokenSince time.Time
	trippedAt   time.Time
	// brokenUntil is the time until which a status that says that the group is broken
	// counts. No probes are needed until then: a later status shows that it works again.
	brokenUntil time.Time
}

// check reports whether the next request is a probe, and how long nothing may be sent
// to the group.
func (c *circuitBreaker) check(now time.Time) (probe bool, wait time.Duration) {
	if !c.open {
		return false, 0
	}
	if now.Before(c.brokenUntil) {
		return true, min(c.brokenUntil.Sub(now), probeInterval)
	}
	if !c.probeSentAt.IsZero() {
		wait = c.probeSentAt.Add(probeTimeout).Sub(now)
	}
	return true, max(wait, c.probeAt.Sub(now), 0)
}

// closedFor reports whether the breaker is closed and has been for a time.
func (c *circuitBreaker) closedFor(d time.Duration, now time.Time) bool {
	return !c.open && now.Sub(c.closedAt) >= d
}

// lasting reports whether the group has been broken for lastingOutage and its status says
// that it still is.
func (c *circuitBreaker) lasting(now time.Time) bool {
	return c.open && now.Sub(c.brokenSince) >= lastingOutage && now.Before(c.brokenUntil)
}

// unprobed reports whether the breaker is open and the next probe has been due for a
// time.
func (c *circuitBreaker) unprobed(d time.Duration, now time.Time) bool {
	return c.open && c.probeSentAt.IsZero() && now.Sub(c.probeAt) >= d && !now.Before(c.brokenUntil)
}

// trip opens the breaker, or keeps it open, and sets the time of the next probe.
func (c *circuitBreaker) trip(now, probeAt time.Time) {
	if !c.open {
		c.brokenSince = now
	}
	c.open = true
	c.trippedAt = now
	c.probeAt = probeAt
}

// observeStatus records whether the group worked at a time, by its status. It closes the
// breaker if the status is newer than the last sign that the group is broken.
func (c *circuitBreaker) observeStatus(broken bool, at, now time.Time) {
	switch {
	case broken && at.After(c.closedAt.Add(statusLag)):
		if !c.open {
			c.trip(now, now)
		}
		c.brokenUntil = at.Add(loadTTL)
	case !broken && c.open && at.After(c.trippedAt.Add(statusLag)):
		c.open = false
		c.closedAt = now
		c.brokenUntil = time.Time{}
		c.probeSentAt = time.Time{}
	}
}

// recordProbe closes the breaker if a probe was answered. Otherwise it keeps the
// breaker open and sets the time of the next probe, also if the outcome is
// Inconclusive. Outcomes of requests that were not probes are ignored.
func (c *circuitBreaker) recordProbe(probe bool, outcome Outcome, now time.Time) {
	if !probe {
		return
	}
	c.probeSentAt = time.Time{}
	if outcome == Answered {
		if c.open {
			c.closedAt = now
		}
		c.open = false
		c.brokenUntil = time.Time{}
		return
	}
	c.trip(now, now.Add(probeInterval))
}
