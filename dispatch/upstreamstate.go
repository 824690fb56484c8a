package dispatch

import (
	"math"
	"time"

	"github.com/foxtailstack/foxtailstack/exchange"
)

const (
	// loadTTL is how long a reported load is used. Up to loadFullTime it counts in
	// full, and from then on linearly less.
	loadTTL      = 1500 * time.Millisecond
	loadFullTime = 900 * time.Millisecond
	// ejectTime is how long an upstream is ejected, that is, used only if there is no
	// other, after a connection to it failed. It doubles with each failure up to
	// maxEjectTime, until a request is answered; other outcomes do not reset it.
	// An upstream whose address belongs to another one is ejected for maxEjectTime at
	// once.
	ejectTime    = 400 * time.Millisecond
	maxEjectTime = 3200 * time.Millisecond
	// refusedTime is how long an upstream that refused a request is used only if there
	// is no other.
	refusedTime = 100 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.1
	// failureCost is the number of requests that a failure rate of one counts as in
	// the cost of an upstream.
	failureCost = 12.0
	// slowdownCost is the number of requests that a slowdown higher by one counts as
	// in the cost of a rank. Requests at a slow rank slow the whole group down.
	slowdownCost = 12.0
	// silentTime is how long a rank counts as silent after a status without it, or
	// after a request at it stalled.
	silentTime = time.Second
	// maxSilentDivisor limits how many ranks may count as silent after a status, to
	// one in this many of the ready upstreams of the service. If more are missing
	// from it, the fault is taken to be the planner's, and none counts as silent.
	maxSilentDivisor = 3
	// slowThreshold is the slowdown from which a rank gets no requests. If more than
	// one in maxSlowDivisor of the ranks in a status is that slow, their slots are
	// needed, and they get requests all the same.
	slowThreshold  = 1.5
	maxSlowDivisor = 3
	// lateReserve is the fraction of a rank's slots that late requests leave free.
	lateReserve = 0.15
	// responseTimeWeight is the weight of the newest value in the average response
	// time.
	responseTimeWeight = 0.15
)

// upstreamState is what a Scheduler knows of one upstream.
type upstreamState struct {
	// group is the group of a rank; empty if it is not known.
	group GroupName
	// slots is the number of requests that the upstream runs concurrently; zero if not
	// known.
	slots int
	// phase is the upstream's phase for slotLimit.
	phase float64
	// running is the number of requests of this process at the upstream.
	running        int
	runningHistory valueHistory
	// suspects is the number of suspects of this process at the upstream.
	suspects int
	// reportedOthers and reportedOwn are the numbers of requests of the other
	// entries and of this one at reportedAt. slotQuota is the number of requests by
	// which this entry may exceed reportedOwn, and yieldQuota that number for the least
	// urgent requests, which may use yieldSlots (see tier).
	reportedOthers int
	reportedOwn    int
	slotQuota      int
	yieldQuota     int
	yieldSlots     int
	reportedAt     time.Time
	// remainder, from 0 to 1, differs at random between ranks and entries (see
	// unreportedQuota).
	remainder float64
	// ejectedUntil and refusedUntil are the times until which the upstream is used
	// only if there is no other: because of failed connections, a new owner of its address
	// or failures in a row, and because it refused a request.
	ejectedUntil time.Time
	refusedUntil time.Time
	// pausedUntil is the time until which the upstream gets no requests because it asked
	// for that.
	pausedUntil time.Time
	// turns are the moments at which the upstream may get a request if it names a limit or is
	// cold.
	turns turns
	// seen, seenStart and evacuated are whether a list had the upstream, and its start and
	// whether its data centre was evacuated in the last one.
	seen      bool
	seenStart int64
	evacuated bool
	// dialFailures is the number of failed dials since a request was last
	// answered.
	dialFailures int
	// outlier ejects the upstream if its responses fail one after the other.
	outlier outlier
	// failureRate is the exponentially weighted moving average of failures among
	// requests, from 0 to 1.
	failureRate float64
	// silentUntil is the time until which a rank gets no requests because a status did
	// not list it or a request at it stalled.
	silentUntil time.Time
	// slowUntil is the time until which a slow rank gets no requests.
	slowUntil time.Time
	// slowdown is the slowdown that the rank reported last: the ratio of its pass time
	// to the usual one. 1 is normal, more is slow. It is zero if not known.
	slowdown float64
	// avgResponseSeconds is the exponentially weighted moving average of the response
	// time; zero if not known.
	avgResponseSeconds float64
}

// load returns the estimated number of requests of all entries at the upstream.
func (s *upstreamState) load(now time.Time) float64 {
	load := float64(s.running)
	age := now.Sub(s.reportedAt)
	switch {
	case age < loadFullTime:
		load += float64(s.reportedOthers)
	case age < loadTTL:
		load += float64(s.reportedOthers) * float64(loadTTL-age) / float64(loadTTL-loadFullTime)
	}
	return load
}

// addRunning changes the number of requests of this process at the upstream, and keeps
// the previous number in runningHistory.
func (s *upstreamState) addRunning(delta int, now time.Time) {
	s.runningHistory.record(now, s.running)
	s.running += delta
}

// cost returns the expected wait of a further request, relative to that at other
// upstreams. The response time counts only for upstreams that work alone: the ranks
// of a group all take as long as the slowest.
func (s *upstreamState) cost(now time.Time, grouped bool) float64 {
	slots := float64(max(s.slots, 1))
	cost := (s.load(now) + 1 + failureCost*s.failureRate + slowdownCost*max(0, s.slowdown-1)) / slots
	if !grouped && s.avgResponseSeconds > 0 {
		cost *= s.avgResponseSeconds
	}
	return cost
}

// full reports whether all slots of an allotment are estimated to be taken, or this process
// has used up its quota of the free ones. Once the last report is older than loadTTL, nothing
// is known of the requests of other entries, and the process keeps to its share of all slots.
// An upstream whose number of slots is not known is never full.
func (s *upstreamState) full(a allotment, now time.Time) bool {
	if a.slots == 0 {
		return false
	}
	if a.begun {
		return s.load(now) > float64(a.slots)-1
	}
	if now.Sub(s.reportedAt) >= loadTTL {
		return s.running >= s.unreportedQuota(a, now)
	}
	return s.running-s.reportedOwn >= a.quota || s.load(now) > float64(a.slots)-1
}

const (
	// remainderTime is how long an entry keeps the slot that rounding leaves over, and
	// remainderStep by what its place then advances. Multiples of it spread evenly between 0
	// and 1.
	remainderTime = time.Second
	remainderStep = math.Phi - 1
)

// unreportedQuota returns the number of requests that this process may have at a rank whose
// load it does not know. Rounded up or down in turn, the quotas of all entries add up to
// about their share of the slots.
func (s *upstreamState) unreportedQuota(a allotment, now time.Time) int {
	_, remainder := math.Modf(s.remainder + remainderStep*float64(now.UnixNano()/int64(remainderTime)))
	return min(a.slots, int(float64(a.slots)*a.share+remainder))
}

// accepts reports whether a rank may get a request with an allotment. A late request must
// leave the lateReserve free.
func (s *upstreamState) accepts(a allotment, late bool, now time.Time) bool {
	if late && s.lateFull(now) {
		return false
	}
	return !s.full(a, now) && s.reachable(now)
}

// lateFull reports whether all slots that late requests may use are estimated to be taken.
func (s *upstreamState) lateFull(now time.Time) bool {
	if s.slots == 0 {
		return false
	}
	slots := max(1, int(float64(s.slots)*(1-lateReserve)+s.phase))
	return s.load(now) > float64(slots)-1
}

// reachable reports whether a rank is neither silent nor slow.
func (s *upstreamState) reachable(now time.Time) bool {
	return !now.Before(s.silentUntil) && !now.Before(s.slowUntil)
}

// wanted reports whether the upstream wants requests now: it has not asked for a pause, and
// it is this process's turn if it names a limit or is cold.
func (s *upstreamState) wanted(now time.Time) bool {
	return !now.Before(s.pausedUntil) && s.turns.wait(now) == 0
}

// avoided reports whether the upstream is used only if there is no other.
func (s *upstreamState) avoided(now time.Time) bool {
	return now.Before(s.ejectedUntil) || now.Before(s.refusedUntil)
}

// observeLoad records the load that the upstream had at a time, and takes this
// process's quota of the free slots. The reported requests include those that this
// process had at that time, which need not be the present ones. A nil load, and one
// that is older than the last, is ignored.
func (s *upstreamState) observeLoad(load *exchange.Load, at time.Time, divider *quotaDivider) {
	if load == nil || at.Before(s.reportedAt) {
		return
	}
	all := load.Running + load.Waiting
	s.reportedOwn = s.runningHistory.valueAt(at, s.running)
	s.reportedOthers = max(0, all-s.reportedOwn)
	s.slotQuota = divider.all.next(s.slots - all)
	s.yieldQuota = divider.yielding.next(s.yieldSlots - all)
	s.reportedAt = at
}

// recordDialFailure ejects the upstream because no connection could be made.
func (s *upstreamState) recordDialFailure(now time.Time) {
	s.ejectedUntil = now.Add(min(ejectTime<<min(s.dialFailures, 10), maxEjectTime))
	s.dialFailures++
}

// recordOutcome adds an outcome to the failure rate, and the response time of a
// request that did not fail to the average.
func (s *upstreamState) recordOutcome(failed bool, responseTime time.Duration) {
	failure := 0.0
	if failed {
		failure = 1
	}
	s.failureRate += failureWeight * (failure - s.failureRate)
	if !failed {
		s.avgResponseSeconds = averageResponse(s.avgResponseSeconds, responseTime)
	}
}

// recordFailure records that a request failed that was sent at a time. It returns for how long
// the upstream is ejected for that; zero if it is not.
func (s *upstreamState) recordFailure(sentAt, now time.Time) time.Duration {
	s.recordOutcome(true, 0)
	d := s.outlier.fail(sentAt, now)
	if until := now.Add(d); d > 0 && until.After(s.ejectedUntil) {
		s.ejectedUntil = until
	}
	return d
}

// averageResponse returns the moving average of response times in seconds, zero if there is
// none, after a further one. A time of zero is ignored.
func averageResponse(average float64, next time.Duration) float64 {
	switch {
	case next <= 0:
		return average
	case average == 0:
		return next.Seconds()
	}
	return average + responseTimeWeight*(next.Seconds()-average)
}
