package dispatch

import (
	"slices"
	"time"
)

const (
	// pulsePasses is the number of passes that the time of a pass is taken from.
	pulsePasses = 5
	// pulseLife is how long it counts without a further pass.
	pulseLife = 2 * time.Second
	// burstTime is how long the events of one pass may take to come in.
	burstTime = 15 * time.Millisecond
)

// PassCount counts passes of the groups behind a service.
type PassCount uint64

// pulse takes the time of a group's passes from the pauses between the events of
// streams, one of which each pass makes. The number of passes in a time would not
// tell it: a group that is nearly idle makes few of them. The zero value knows
// nothing.
type pulse struct {
	pauses []time.Duration
	last   time.Time
	// passes counts those that were noticed.
	passes PassCount
}

// add records that an event came in now, a pause after the one before it in its
// stream.
func (p *pulse) add(now time.Time, pause time.Duration) {
	if now.Sub(p.last) < burstTime {
		return // another stream's event of the same pass
	}
	p.last = now
	p.passes++
	p.pauses = append(p.pauses, pause)
	if len(p.pauses) > pulsePasses {
		p.pauses = p.pauses[1:]
	}
}

// pass returns the usual time of the last passes, or zero if it is not known. A
// single long one, such as while the group was held, does not count.
func (p *pulse) pass(now time.Time) time.Duration {
	if len(p.pauses) == 0 || now.Sub(p.last) > pulseLife {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p.pauses))
	return sorted[(len(sorted)-1)/2]
}
