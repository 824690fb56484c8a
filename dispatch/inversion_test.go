package dispatch

import (
	"testing"
	"time"
)

// The kinds of requests of the bursts, with the figures of the users' hardest deployment.
const (
	burstGap      = 120 * time.Millisecond
	burstEvents   = 23
	burstWindow   = 2 * time.Second
	servedMargin  = 0.05
	payoffMargin  = 0.15
	payoffWhenOff = 0.35 // of a late answer
	// Less urgent requests come more often from burstFrom to burstTo. urgentPayoff is what
	// urgent ones are to earn of their worth in that time.
	burstFrom    = 4 * time.Second
	burstTo      = 11 * time.Second
	urgentPayoff = 0.95
)

// burstStream is a request of a burst.
type burstStream struct {
	waiter     *waiter
	rank       int
	eventsLeft int
	late       bool
	served     bool
}

// burstModel plays two kinds of streams on a group whose entries act as one.
type burstModel struct {
	q       *queue
	start   time.Time
	now     time.Time
	slots   slotLimit
	passes  passRoom
	loads   [limitRanks]int
	running []*burstStream
	waiting map[*waiter]*burstStream
	all     map[int][]*burstStream
}

// arrive lets a stream arrive.
func (m *burstModel) arrive(urgency int, aim, patience time.Duration) {
	w := &waiter{
		request: Request{
			Grouped:          true,
			Urgency:          urgency,
			SoftDeadline:     m.now.Add(aim - 180*time.Millisecond),
			AbandonAt:        m.now.Add(patience),
			TimeToFirstEvent: 180 * time.Millisecond,
		},
		enqueuedAt: m.now,
	}
	s := &burstStream{
		waiter:     w,
		eventsLeft: burstEvents,
	}
	m.all[urgency] = append(m.all[urgency], s)
	m.waiting[w] = s
	m.q.waiters = append(m.q.waiters, w)
	m.q.room.arrive(urgency, m.now)
}

// serve sends the waiters for which there is room.
func (m *burstModel) serve() {
	for _, w := range m.q.order(m.now) {
		if w.unservable(m.now) {
			m.q.remove(w)
			continue
		}
		place := m.q.tier(w.request.Urgency, m.now)
		if place.least && m.passes.left(limitSlots, limitRanks, len(m.running)) < 1 {
			continue
		}
		for rank := range m.loads {
			state := &upstreamState{phase: float64(rank) / limitRanks}
			state.slots = m.slots.slots(limitSlots, state.phase)
			if m.loads[rank] >= place.slots(state, &m.passes) {
				continue
			}
			s := m.waiting[w]
			s.rank = rank
			s.late = w.late(m.now)
			m.loads[rank]++
			m.running = append(m.running, s)
			m.q.room.begin(w.request.Urgency)
			m.q.remove(w)
			break
		}
	}
}

// pass makes one pass.
func (m *burstModel) pass(bounds PassBounds) {
	perRank := float64(len(m.running)) / limitRanks
	cost := 3000 * time.Microsecond
	if m.now.Sub(m.start)%(4200*time.Millisecond) < 400*time.Millisecond {
		cost = 7500 * time.Microsecond // the experts in demand have changed
	}
	d := bounds.Base + 13*time.Millisecond + time.Duration(perRank*float64(cost))
	m.slots.observeRunning(perRank)
	m.slots.observePass(d, limitSlots)
	m.passes.observe(d, perRank, bounds, limitSlots)
	m.passes.setDemand(m.q.room.need(limitRanks, 1, m.now), bounds, limitSlots)
	m.now = m.now.Add(d)
	var left []*burstStream
	for _, s := range m.running {
		s.late = s.late || d > burstGap
		s.eventsLeft--
		if s.eventsLeft > 0 {
			left = append(left, s)
			continue
		}
		s.served = true
		m.loads[s.rank]--
		m.q.room.end(s.waiter.request.Urgency, m.now.Sub(s.waiter.enqueuedAt))
	}
	m.running = left
}

// shares returns the share of the streams of an urgency that arrived in an interval which
// were served, and the payoff that they earned.
func (m *burstModel) shares(urgency int, from, to time.Duration) (served, payoff float64) {
	n := 0
	for _, s := range m.all[urgency] {
		at := s.waiter.enqueuedAt.Sub(m.start)
		if at < from || at >= to {
			continue
		}
		n++
		if !s.served {
			continue
		}
		served++
		if s.late {
			payoff += payoffWhenOff
		} else {
			payoff++
		}
	}
	return served / float64(max(1, n)), payoff / float64(max(1, n))
}

// Guards against inversion: urgent requests that are served less often than less urgent
// ones, or earn less, in a burst of those, in one of their own, and in both at once; and
// against a burst of less urgent requests that makes urgent ones late.
func TestBurstsDoNotInvertUrgency(t *testing.T) {
	bounds := burstBounds
	tests := map[string]time.Duration{ // the start of the urgent burst
		"apart":       16 * time.Second,
		"overlapping": 7 * time.Second,
	}
	for name, urgentFrom := range tests {
		t.Run(name, func(t *testing.T) {
			const length = 24 * time.Second
			start := time.Now()
			m := &burstModel{
				q:       &queue{ranks: limitRanks},
				start:   start,
				now:     start,
				slots:   slotLimit{bounds: bounds},
				waiting: make(map[*waiter]*burstStream),
				all:     make(map[int][]*burstStream),
			}
			due := map[int]float64{}
			for m.now.Sub(start) < length+6*time.Second {
				before := m.now
				m.serve()
				m.pass(bounds)
				at := m.now.Sub(start)
				if at >= length {
					continue
				}
				rates := map[int]float64{
					urgent:  132,
					relaxed: 121,
				}
				if at >= burstFrom && at < burstTo {
					rates[relaxed] *= 2.6
				}
				if at >= urgentFrom && at < urgentFrom+4*time.Second {
					rates[urgent] *= 1.8
				}
				for urgency, rate := range rates {
					due[urgency] += rate * m.now.Sub(before).Seconds()
					for ; due[urgency] >= 1; due[urgency]-- {
						if urgency == urgent {
							m.arrive(urgency, 400*time.Millisecond, 2*time.Second)
						} else {
							m.arrive(urgency, time.Second, 4*time.Second)
						}
					}
				}
			}
			_, payoff := m.shares(urgent, burstFrom, burstTo)
			if payoff < urgentPayoff {
				t.Errorf("urgent requests earn %.3f in the seconds of the other burst, want at least %.2f", payoff, urgentPayoff)
			}
			m.check(t, "day", 0, length)
			for from := time.Duration(0); from+burstWindow <= length; from += burstWindow / 4 {
				m.check(t, from.String(), from, from+burstWindow)
			}
		})
	}
}

// check compares the two kinds in an interval.
func (m *burstModel) check(t *testing.T, name string, from, to time.Duration) {
	t.Helper()
	served, payoff := m.shares(urgent, from, to)
	otherServed, otherPayoff := m.shares(relaxed, from, to)
	if served < otherServed-servedMargin {
		t.Errorf("%s: %.2f of the urgent and %.2f of the less urgent requests are served", name, served, otherServed)
	}
	if payoff < otherPayoff-payoffMargin {
		t.Errorf("%s: urgent requests earn %.2f, less urgent ones %.2f", name, payoff, otherPayoff)
	}
	if name == "day" {
		t.Logf("served %.3f and %.3f, earned %.3f and %.3f", served, otherServed, payoff, otherPayoff)
	}
}
