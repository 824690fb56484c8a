package dispatch

import (
	"math"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/exchange"
)

const (
	// limitMargin is the fraction of an upstream's limit that all entries use together, since
	// their shares add up to one only on average. Among more entries than fewEntries the
	// turns of several may fall together, and manyEntriesMargin is used.
	limitMargin       = 0.85
	manyEntriesMargin = 0.6
	fewEntries        = 8
	// assumedEntries is how many entries one takes there to be that has seen nothing of the
	// others. Too many make an upstream get less than it takes, too few would overload it.
	assumedEntries = 64
	// turnTime is how long a turn lasts. A turn that is not used in it is lost, so that the
	// entries save up no requests for one moment.
	turnTime = 500 * time.Millisecond
)

// turns are the moments at which this process may send a request to an upstream that takes
// only so many, because it names a limit or is cold. Each entry has its own, at an interval
// that follows from its share of the requests, so that no entry needs to know of the others'
// requests. The zero value sets no limit.
type turns struct {
	// limit is the rate of requests that the upstream says it takes from all entries
	// together; zero if it names none.
	limit foxtailstack.RequestRate
	cold  coldPhase
	// start is the start of the upstream that is limited.
	start int64
	// answered is when the last answer with or without a limit arrived here. byStatus is set
	// if a status of the group has named the limit too.
	answered time.Time
	byStatus bool
	interval time.Duration
	// next is the beginning of the next turn that has not been used, or of the present one.
	next time.Time
}

// turnShare is the part of an upstream's limit that this process may use.
type turnShare struct {
	// fraction is the part of the requests of all entries that this process sends.
	fraction float64
	// margin is the fraction of the limit that all entries use together.
	margin float64
}

// limited reports whether the upstream takes only so many requests.
func (t *turns) limited(now time.Time) bool {
	return t.limit > 0 || t.cold.active(now)
}

// begin sets the interval after a change of what limits the turns. phase, from 0 to below 1,
// is the part of an interval after which the first turn comes if there was no limit before.
func (t *turns) begin(share turnShare, phase float64, first bool, now time.Time) {
	t.setInterval(share, now)
	if first || t.next.After(now.Add(t.interval)) {
		t.next = now.Add(time.Duration(phase * float64(t.interval)))
	}
}

// setInterval sets the time between two turns.
func (t *turns) setInterval(share turnShare, now time.Time) {
	rate := math.Inf(1)
	if t.limit > 0 {
		rate = share.margin * float64(t.limit)
	}
	if t.cold.active(now) {
		rate = min(rate, t.cold.rate(share.margin, now))
	}
	seconds := 1 / (share.fraction * rate)
	t.interval = max(time.Duration(min(seconds, math.MaxInt32)*float64(time.Second)), 1)
}

// wait returns the time until the next turn, or zero if it is now or there is no limit.
func (t *turns) wait(now time.Time) time.Duration {
	if !t.limited(now) {
		return 0
	}
	late := now.Sub(t.next) - turnTime
	if late > 0 {
		t.next = t.next.Add((late/t.interval + 1) * t.interval)
	}
	return max(0, t.next.Sub(now))
}

// take uses the present turn. The next one comes a whole interval later, also if this one is
// used late: the turns of an entry do not move together.
func (t *turns) take(share turnShare, now time.Time) {
	if !t.limited(now) {
		return
	}
	t.setInterval(share, now)
	t.next = maxTime(t.next, now).Add(t.interval)
}

// turnShare returns the part of an upstream's limit that this process may use. An entry
// without requests keeps a part of an equal share, so that it can begin. One that is told of
// no number of entries goes by the loads of upstreams that work alone. The caller holds mu.
func (s *Scheduler) turnShare() turnShare {
	fraction, equal := s.loadShare()
	if !s.entriesKnown() {
		return turnShare{
			fraction: s.ownLoad.fraction(),
			margin:   manyEntriesMargin,
		}
	}
	margin := limitMargin
	if equal < 1.0/fewEntries {
		margin = manyEntriesMargin
	}
	return turnShare{
		fraction: max(fraction, minEqualShare*equal),
		margin:   margin,
	}
}

// advanceTurns sets the intervals of all turns anew when the number of entries becomes known:
// an entry that has just started has assumed assumedEntries, and its turns would come late.
// The caller holds mu.
func (s *Scheduler) advanceTurns(now time.Time) {
	share := s.turnShare()
	for name := range s.limited {
		s.upstream(name).turns.begin(share, phaseOf(string(s.Instance), string(name)), false, now)
	}
}

// entriesKnown reports whether a status of a group has told the number of entries. The caller
// holds mu.
func (s *Scheduler) entriesKnown() bool {
	for _, q := range s.queues {
		for _, group := range q.groups {
			if group.loadShare.entries > 0 {
				return true
			}
		}
	}
	return false
}

const (
	// ownLoadDecay is what is left of a load after the next one.
	ownLoadDecay = 0.98
	// ownLoadPrior is the number of requests that the share of one among assumedEntries
	// counts as.
	ownLoadPrior = 8
)

// ownLoad is the part of the load of upstreams that work alone which comes from this process,
// as far as their answers show. It begins at the share of one among assumedEntries.
type ownLoad struct {
	// own and all are decaying sums of the requests that ran beside one of this process.
	own, all float64
}

// observe records the load in the answer to a request of this process, which has a number of
// requests there. The request itself is left out: it says nothing about the others.
func (l *ownLoad) observe(load *exchange.Load, running int) {
	own := max(0, running-1)
	all := own + max(0, load.Running+load.Waiting-running)
	if all == 0 {
		return
	}
	l.own = ownLoadDecay*l.own + float64(own)
	l.all = ownLoadDecay*l.all + float64(all)
}

// fraction returns the part of the load.
func (l *ownLoad) fraction() float64 {
	return (l.own + ownLoadPrior/float64(assumedEntries)) / (l.all + ownLoadPrior)
}
