package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// arrivalTime is the time constant of the average number of requests that arrive.
	arrivalTime = time.Second
	// demandTime is the time in which the arrivals are counted that entries compare.
	demandTime = 10 * time.Second
	// activeTime is how long an urgency counts as in use after the last request of it.
	activeTime = 10 * time.Second
	// sharedTTL is how long the use that all entries have published is relied on.
	sharedTTL = 1500 * time.Millisecond
	// minShare is the share of the arrivals from which the requests of an urgency are given
	// room, or are taken to give enough of it. With fewer, the room that they get by their
	// place in the queue is enough.
	minShare = 0.1
	// holdWeight is the weight of the newest request in the average time at a rank, and
	// initialHold that average before the first has ended.
	holdWeight  = 0.05
	initialHold = 2 * time.Second
)

// UrgencyUse is what the requests of one urgency use of a service.
type UrgencyUse struct {
	Urgency int
	// Running is the number of requests at upstreams.
	Running int
	// Arrivals is the number of requests that arrive in a second.
	Arrivals float64
}

// RoomState is the room in which a request was held back. Its zero value means that it was
// not.
type RoomState struct {
	// Cause is what kept it from most of the ranks with free slots, and Free the number of
	// free slots.
	Cause HoldCause
	Free  int
	// Passes is the number of requests at each rank with which passes are short enough, as
	// far as the request was kept to it; zero if it was not.
	Passes float64
	// Reserved is the number of slots of each rank kept for more urgent requests.
	Reserved float64
	// Share is the fraction of all requests that are taken to come to this process.
	Share float64
	// Age is the age of what is known of the other entries; zero if it is not known.
	Age time.Duration
}

// urgencyState is what a process knows of its own requests of an urgency.
type urgencyState struct {
	running  int
	arrivals float64
	// countedAt is when arrivals was right; it decays since. lastArrival is when the last
	// request arrived.
	countedAt   time.Time
	lastArrival time.Time
}

// rate returns the number of requests that arrive in a second.
func (u *urgencyState) rate(now time.Time) float64 {
	return u.arrivals * math.Exp(-now.Sub(u.countedAt).Seconds()/arrivalTime.Seconds()) / arrivalTime.Seconds()
}

// room decides how many slots the requests of each urgency may use. Its load is a burst of
// less urgent requests beside urgent ones, or before a burst of those: what has begun keeps
// its slot for seconds, so that slots for urgent requests must be free before these come.
// The room of an urgency is what the more urgent ones leave: the slots that they use, and
// those that they are expected to need at the rate at which they come. Where all requests
// have one urgency it is all slots. The zero value is ready for use.
type room struct {
	own map[int]*urgencyState
	// shared is the use by all entries as of sharedAt; nil if it was never published.
	shared   []UrgencyUse
	sharedAt time.Time
	// hold is the average time that a request has a slot.
	hold time.Duration
}

// arrive counts a request that arrives.
func (r *room) arrive(urgency int, now time.Time) {
	state := getOrCreate(&r.own, urgency)
	state.arrivals = state.rate(now)*arrivalTime.Seconds() + 1
	state.countedAt = now
	state.lastArrival = now
}

// begin counts a request that gets a slot.
func (r *room) begin(urgency int) {
	getOrCreate(&r.own, urgency).running++
}

// end counts a request that gives its slot back after a time.
func (r *room) end(urgency int, held time.Duration) {
	getOrCreate(&r.own, urgency).running--
	r.hold = r.holdTime() + time.Duration(holdWeight*float64(held-r.holdTime()))
}

// holdTime returns the average time that a request has a slot.
func (r *room) holdTime() time.Duration {
	if r.hold == 0 {
		return initialHold
	}
	return r.hold
}

// use returns the use of this process by urgency, the most urgent first.
func (r *room) use(now time.Time) []UrgencyUse {
	var uses []UrgencyUse
	for urgency, state := range r.own {
		if state.running == 0 && now.Sub(state.lastArrival) > activeTime {
			continue
		}
		uses = append(uses, UrgencyUse{
			Urgency:  urgency,
			Running:  state.running,
			Arrivals: state.rate(now),
		})
	}
	slices.SortFunc(uses, func(a, b UrgencyUse) int { return cmp.Compare(a.Urgency, b.Urgency) })
	return uses
}

// observe records the use by all entries as of a time, unless a later one is known.
func (r *room) observe(uses []UrgencyUse, at time.Time) {
	if at.Before(r.sharedAt) {
		return
	}
	r.shared = uses
	r.sharedAt = at
}

// demand returns the numbers of requests that arrive in demandTime at this process and at
// all entries. It is not known while all requests have one urgency. An entry that has more
// waiting than the others then gets a larger part of the free slots, which its requests at
// upstreams do not show.
func (r *room) demand(now time.Time) (own, all int, known bool) {
	if len(r.shared) < 2 || now.Sub(r.sharedAt) > sharedTTL {
		return 0, 0, false
	}
	for _, use := range r.shared {
		all += int(use.Arrivals * demandTime.Seconds())
	}
	for _, use := range r.use(now) {
		own += int(use.Arrivals * demandTime.Seconds())
	}
	return own, max(own, all), true
}

// total returns the use by all entries. While what they have published is not known or too
// old, it is taken from this process's own and its share of all requests.
func (r *room) total(share float64, now time.Time) []UrgencyUse {
	if r.shared != nil && now.Sub(r.sharedAt) <= sharedTTL {
		return r.shared
	}
	uses := r.use(now)
	for i := range uses {
		uses[i].Running = int(float64(uses[i].Running) / share)
		uses[i].Arrivals /= share
	}
	return uses
}

// yields reports whether requests of an urgency leave room for more urgent ones, because
// there are such, and whether they are the least urgent ones in use. The few requests of an
// urgency that takes less than minShare of the arrivals count as neither.
func (r *room) yields(urgency int, share float64, now time.Time) (yields, least bool) {
	var more, less, all float64
	for _, use := range r.total(share, now) {
		all += use.Arrivals
		switch {
		case use.Urgency < urgency:
			more += use.Arrivals
		case use.Urgency > urgency:
			less += use.Arrivals
		}
	}
	yields = more > 0 && more >= minShare*all
	return yields, yields && less < minShare*all
}

// need returns what requests need of each of some ranks.
func (r *room) need(ranks int, share float64, now time.Time) roomDemand {
	least := r.leastUrgency(now)
	demand := roomDemand{hold: r.holdTime()}
	for _, use := range r.total(share, now) {
		requests := max(use.Arrivals*r.holdTime().Seconds(), float64(use.Running)) / float64(max(1, ranks))
		if use.Urgency < least {
			demand.urgent += requests
		} else {
			demand.least += requests
		}
	}
	return demand
}

// reserved returns the number of slots of all ranks that requests of an urgency leave free
// for more urgent ones. It is what those need at the rate at which they come, and the usual
// deviation from it, less what they use.
func (r *room) reserved(urgency int, share float64, now time.Time) float64 {
	reserved := 0.0
	for _, use := range r.total(share, now) {
		if use.Urgency >= urgency {
			continue
		}
		need := max(use.Arrivals*r.holdTime().Seconds(), float64(use.Running))
		reserved += need + math.Sqrt(need) - float64(use.Running)
	}
	return reserved
}

// leastUrgency returns the least urgency of which this process has had requests lately.
func (r *room) leastUrgency(now time.Time) int {
	least := 0
	for urgency, state := range r.own {
		if now.Sub(state.lastArrival) <= activeTime {
			least = max(least, urgency)
		}
	}
	return least
}

// UrgencyUse returns the use of a service by the requests of this process, the most urgent
// first.
func (s *Scheduler) UrgencyUse(service foxtailstack.ServiceName) []UrgencyUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(service).room.use(time.Now())
}

// ObserveUrgencyUse records the use of a service by the requests of all entries, of a given
// age. None is ignored.
func (s *Scheduler) ObserveUrgencyUse(service foxtailstack.ServiceName, uses []UrgencyUse, age time.Duration) {
	if len(uses) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue(service).room.observe(uses, time.Now().Add(-age))
}
