package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// GroupName names a group of ranks behind a service.
type GroupName string

// RankLoad is the reported load of one rank of a group.
type RankLoad struct {
	Load exchange.Load
	// Slowdown is the ratio of the pass time of the rank to the usual one, as the rank
	// reports it: 1 is normal, more is slow.
	Slowdown float64
	// Limit is the rate of requests that the rank takes from all entries together; zero if
	// it names none.
	Limit foxtailstack.RequestRate
}

// slow reports whether the slowdown reaches slowThreshold, so that requests at this
// rank would slow the whole group down.
func (r RankLoad) slow() bool {
	return r.Slowdown >= slowThreshold
}

// countSlow returns the number of slow ranks.
func countSlow(ranks map[foxtailstack.Address]RankLoad) int {
	n := 0
	for _, rank := range ranks {
		if rank.slow() {
			n++
		}
	}
	return n
}

// ObserveGroup records a status of a group behind a service: the load of its ranks
// by address. The age is the time since the ranks had that load. Ranks of the group
// that are missing from the status become silent, and slow ones get no requests,
// unless too many are (see maxSilentDivisor and maxSlowDivisor).
func (s *Scheduler) ObserveGroup(
	service foxtailstack.ServiceName,
	group GroupName,
	ranks map[foxtailstack.Address]RankLoad,
	age time.Duration,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	observedAt := now.Add(-age)
	ready := s.Fleet().Ready(service)
	silent := s.silentRanks(ready, group, ranks)
	fewSilent := len(silent) <= len(ready)/maxSilentDivisor
	q := s.queue(service)
	ownShare := q.loadShare(group)
	own, all := s.countRequests(ready, ranks, observedAt)
	demandOwn, demandAll, known := q.room.demand(now)
	if known {
		ownShare.observe(demandOwn, demandAll)
	} else {
		ownShare.observe(own, all)
	}
	q.group(group).slotLimit.observeRunning(meanRunning(ready, ranks, all))
	s.recordSpread(service, ready, ranks)
	fewSlow := countSlow(ranks) <= len(ranks)/maxSlowDivisor
	q.ranks = len(ready)
	q.setRoomDemand(group, now)
	share := ownShare.allowance()
	divider := newQuotaDivider(share, share*s.setSlots(q, group, ready, ranks, now))
	order := newRandomOrder(len(ready))
	for range ready {
		u := ready[order.next()]
		state := s.upstream(u.Name)
		rank, ok := ranks[u.Address]
		if !ok {
			if fewSilent && silent[u.Name] {
				s.setSilent(&u, now.Add(silentTime), age)
			}
			continue
		}
		state.slowdown = rank.Slowdown
		s.setSilent(&u, time.Time{}, age)
		slowUntil := time.Time{}
		if fewSlow && rank.slow() {
			slowUntil = now.Add(loadTTL)
		}
		s.setSlow(&u, slowUntil, age)
		state.observeLoad(&rank.Load, observedAt, divider)
		s.observeStatusLimit(&u, rank.Limit, age, now)
	}
}

// setSlots sets how many slots of the ranks in a status requests may use, and the least urgent
// ones. It returns the part of those free for the least urgent that they may take together.
// The caller holds mu.
func (s *Scheduler) setSlots(
	q *queue,
	group GroupName,
	ready []route.Upstream,
	ranks map[foxtailstack.Address]RankLoad,
	now time.Time,
) float64 {
	lastTier := q.lastTier(now)
	passes := &q.group(group).passRoom
	free, requests, n := 0, 0, 0
	for i := range ready {
		u := &ready[i]
		rank, ok := ranks[u.Address]
		if !ok {
			continue
		}
		state := s.upstream(u.Name)
		state.group = group
		state.slots = q.usableSlots(u, state, true)
		state.yieldSlots = lastTier.slots(state, passes)
		load := rank.Load.Running + rank.Load.Waiting
		free += max(0, state.yieldSlots-load)
		requests += load
		n++
	}
	left := passes.left(q.group(group).maxSlots, n, requests)
	passes.binds = left < float64(free)
	if !passes.binds {
		return 1
	}
	return left / float64(free)
}

// countRequests returns the number of requests that this process had at the ranks at
// a time, and the number that all entries had there. The caller holds mu.
func (s *Scheduler) countRequests(
	ready []route.Upstream,
	ranks map[foxtailstack.Address]RankLoad,
	at time.Time,
) (own, all int) {
	for _, u := range ready {
		rank, ok := ranks[u.Address]
		if !ok {
			continue
		}
		state := s.upstream(u.Name)
		own += state.runningHistory.valueAt(at, state.running)
		all += rank.Load.Running + rank.Load.Waiting
	}
	return own, all
}

// silentRanks returns the ranks of a group that are missing from its status.
// Upstreams whose group is not known count as ranks of this group if no other group
// of the service is known. The caller holds mu.
func (s *Scheduler) silentRanks(
	ready []route.Upstream,
	group GroupName,
	ranks map[foxtailstack.Address]RankLoad,
) map[foxtailstack.UpstreamName]bool {
	silent := make(map[foxtailstack.UpstreamName]bool)
	onlyGroup := true
	for _, u := range ready {
		knownGroup := s.upstream(u.Name).group
		onlyGroup = onlyGroup && (knownGroup == "" || knownGroup == group)
	}
	for _, u := range ready {
		_, ok := ranks[u.Address]
		knownGroup := s.upstream(u.Name).group
		if !ok && (knownGroup == group || knownGroup == "" && onlyGroup) {
			silent[u.Name] = true
		}
	}
	return silent
}

// ObserveEntries records the number of entries that send requests to a group behind a
// service. Zero is ignored.
func (s *Scheduler) ObserveEntries(service foxtailstack.ServiceName, group GroupName, n int) {
	if n <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.entriesKnown()
	s.queue(service).loadShare(group).entries = n
	if !known {
		s.advanceTurns(time.Now())
		s.serve(s.queue(service))
	}
}

// ObserveFormation records whether a group behind a service worked, by a status of the given
// age. Requests that wait for a group are sent at once when it works again.
func (s *Scheduler) ObserveFormation(service foxtailstack.ServiceName, group GroupName, broken bool, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	q := s.queue(service)
	breaker := q.breaker(group)
	wasOpen := breaker.open
	breaker.observeStatus(broken, now.Add(-age), now)
	if wasOpen == breaker.open {
		return
	}
	message := "group works again"
	if breaker.open {
		message = "group broken"
	}
	s.logger().Info(message,
		zap.String("service", string(service)),
		zap.String("group", string(group)),
		zap.Duration("age", age))
	s.serve(q)
}

// Broken reports whether a group behind a service does not work.
func (s *Scheduler) Broken(service foxtailstack.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(service).broken()
}

// LoadShare returns the fraction of the requests of all entries that this process gets,
// as the statuses of groups show it. It is an equal share of all entries if no status
// has shown a load, such as while a group is broken, and initialLoadShare if their number
// is not known either.
func (s *Scheduler) LoadShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	fraction, _ := s.loadShare()
	return fraction
}

// loadShare returns the LoadShare and an equal share of all entries. The caller holds mu.
func (s *Scheduler) loadShare() (fraction, equal float64) {
	sum, known := 0.0, 0
	equal = initialLoadShare
	for _, q := range s.queues {
		for _, group := range q.groups {
			share := &group.loadShare
			if share.entries > 0 {
				equal = min(equal, share.initial())
			}
			if share.known {
				sum += share.fraction
				known++
			}
		}
	}
	if known == 0 {
		return equal, equal
	}
	return sum / float64(known), equal
}

// Silent reports whether a rank gets no requests because, within the last silentTime,
// a status of its group did not list it or a request at it stalled. A later status
// that lists the rank ends that.
func (s *Scheduler) Silent(name foxtailstack.UpstreamName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.upstream(name).silentUntil)
}

// Slow reports whether a rank is so slow that it gets no requests.
func (s *Scheduler) Slow(name foxtailstack.UpstreamName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.upstream(name).slowUntil)
}
