package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// groupState is what a Scheduler knows of one group behind a service. The zero value is
// ready for use.
type groupState struct {
	breaker       circuitBreaker
	loadShare     loadShare
	passEstimator passEstimator
	pace          groupPace
	slotLimit     slotLimit
	passRoom      passRoom
	// maxSlots is the number of slots of a rank of the group.
	maxSlots int
}

// Passes counts the passes of one group. Two counts are comparable if they are of the same
// group.
type Passes struct {
	// Group is empty if it is not known.
	Group GroupName
	Count PassCount
}

// setPassBounds sets what is known beforehand of the passes of the groups.
func (q *queue) setPassBounds(bounds PassBounds) {
	for _, group := range q.groups {
		group.slotLimit.bounds = bounds
	}
}

// groupOf returns the state of the group of an upstream of a service. The caller holds mu.
func (s *Scheduler) groupOf(service foxtailstack.ServiceName, name foxtailstack.UpstreamName) *groupState {
	return s.queue(service).group(s.upstream(name).group)
}

// ObserveEventGap records the gap between the last two events of a stream from a rank
// behind a service.
func (s *Scheduler) ObserveEventGap(
	service foxtailstack.ServiceName,
	rank foxtailstack.UpstreamName,
	gap time.Duration,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.groupOf(service, rank)
	now := time.Now()
	if group.passEstimator.observeGap(now, gap) {
		group.pace.observe(gap, now)
		group.slotLimit.observePass(gap, group.maxSlots)
		group.passRoom.observe(gap, group.slotLimit.running, group.slotLimit.bounds, group.maxSlots)
	}
}

// Passes returns the number of passes of the group of a rank that this process has detected
// so far from the events of its streams.
func (s *Scheduler) Passes(service foxtailstack.ServiceName, rank foxtailstack.UpstreamName) Passes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Passes{
		Group: s.upstream(rank).group,
		Count: s.groupOf(service, rank).passEstimator.count,
	}
}

// PassTime returns the duration of a pass of the fastest group behind a service, or zero if
// it is not known.
func (s *Scheduler) PassTime(service foxtailstack.ServiceName) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(service).passTime(time.Now())
}
