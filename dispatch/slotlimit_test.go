package dispatch

import (
	"testing"
	"time"
)

// The group of these tests has the figures of an engine on the users' machines: 72 ranks
// with 10 slots, passes of five token steps.
const (
	limitRanks = 72
	limitSlots = 10
	limitBase  = 23 * time.Millisecond
	// limitPerRequest is what one request at each rank adds to a pass if the demand is
	// spread evenly, and limitExpertShare the part of it that grows with the skew.
	limitPerRequest  = 5 * 1090 * time.Microsecond
	limitExpertShare = 0.85
	// limitPrompts is the part of a pass in which the rank with the most prompts reads.
	limitPrompts = 35 * time.Millisecond
	limitGap     = 150 * time.Millisecond
	// limitWait is the longest wait for a slot with which the first event is on time.
	limitWait   = 300 * time.Millisecond
	limitEvents = 19
	// After each shift of demand the skew is shiftedSkew for shiftTime, and evenSkew after
	// that. A map is copied in the second half of shiftTime, which makes passes longer by
	// copyFactor.
	shiftTime   = 500 * time.Millisecond
	shiftedSkew = 2.5
	evenSkew    = 1.2
	copyFactor  = 1.15
)

// limitStream is a stream that runs in the model.
type limitStream struct {
	eventsLeft int
	waited     time.Duration
	longest    time.Duration
}

// limitModel simulates a group that serves streams in lock-step passes.
type limitModel struct {
	limit slotLimit
	// all lets the group use all slots in any case.
	all bool
	// shiftInterval is the time between two shifts of demand; zero stands for none.
	shiftInterval time.Duration
	now           time.Duration
	running       []*limitStream
	waiting       []time.Duration
	onTime, sent  int
}

// passTime returns the duration of the next pass.
func (m *limitModel) passTime() time.Duration {
	skew, factor := evenSkew, 1.0
	if m.shiftInterval > 0 {
		since := m.now % m.shiftInterval
		if since < shiftTime {
			skew = shiftedSkew
		}
		if since < shiftTime && since >= shiftTime/2 {
			factor = copyFactor
		}
	}
	perRank := float64(len(m.running)) / limitRanks
	work := perRank * (1 - limitExpertShare + limitExpertShare*skew) * float64(limitPerRequest)
	return time.Duration(factor * (float64(limitBase+limitPrompts) + work))
}

// run lets streams arrive at a rate per second for a time. Streams that waited for longer
// than limitWait are late and are served after the others.
func (m *limitModel) run(rate float64, length time.Duration) {
	m.limit.bounds = PassBounds{
		Base:        limitBase,
		MaxEventGap: limitGap,
	}
	due := 0.0
	for m.now < length {
		slots := limitSlots * limitRanks
		if !m.all {
			slots = 0
			for rank := range limitRanks {
				slots += m.limit.slots(limitSlots, float64(rank)/limitRanks)
			}
		}
		for len(m.waiting) > 0 && len(m.running) < slots {
			newest := len(m.waiting) - 1
			m.running = append(m.running, &limitStream{
				eventsLeft: limitEvents,
				waited:     m.now - m.waiting[newest],
			})
			m.waiting = m.waiting[:newest]
		}
		m.limit.observeRunning(float64(len(m.running)) / limitRanks)
		pass := m.passTime()
		m.limit.observePass(pass, limitSlots)
		m.now += pass
		var left []*limitStream
		for _, s := range m.running {
			s.longest = max(s.longest, pass)
			s.eventsLeft--
			switch {
			case s.eventsLeft > 0:
				left = append(left, s)
			case s.waited <= limitWait && s.longest <= limitGap:
				m.onTime++
			}
		}
		m.running = left
		for due += rate * pass.Seconds(); due >= 1; due-- {
			m.sent++
			m.waiting = append(m.waiting, m.now)
		}
		for len(m.waiting) > 0 && m.now-m.waiting[0] > 2*time.Second {
			m.waiting = m.waiting[1:] // refused: its caller would leave before the first event
		}
	}
}

// Guards against a group that is filled until passes after a shift of demand are longer than
// callers allow, where shifts come more often than streams end, so that nearly every stream
// is late: with fewer requests at each rank, which wait at the entries instead, most are on
// time.
func TestSlotLimitKeepsPassesShortBetweenShifts(t *testing.T) {
	const (
		rate   = 250
		length = 30 * time.Second
	)
	limited := limitModel{shiftInterval: 2 * time.Second}
	limited.run(rate, length)
	full := limitModel{
		all:           true,
		shiftInterval: 2 * time.Second,
	}
	full.run(rate, length)
	share := float64(limited.onTime) / float64(limited.sent)
	fullShare := float64(full.onTime) / float64(full.sent)
	t.Logf("on time: %.2f with the limit, %.2f with all slots", share, fullShare)
	if share < 0.4 || share < 2*fullShare {
		t.Errorf("%.2f of the streams are on time, want at least 0.4 and twice the %.2f with all slots", share, fullShare)
	}
}

// Guards against a limit that takes slots away where passes are short enough: in steady
// demand, for a group with few requests, and for callers that allow any gap.
func TestSlotLimitLeavesSlotsWhereNotNeeded(t *testing.T) {
	tests := map[string]struct {
		running float64
		pass    time.Duration
		gap     time.Duration
	}{
		"short passes": {
			running: limitSlots,
			pass:    110 * time.Millisecond,
			gap:     limitGap,
		},
		"few requests": {
			running: 1,
			pass:    400 * time.Millisecond,
			gap:     limitGap,
		},
		"any gap": {
			running: limitSlots,
			pass:    400 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var limit slotLimit
			limit.bounds = PassBounds{
				Base:        limitBase,
				MaxEventGap: test.gap,
			}
			limit.observeRunning(test.running)
			for range 2 * limitPasses {
				limit.observePass(test.pass, limitSlots)
			}
			if got := limit.slots(limitSlots, 0); got != limitSlots {
				t.Errorf("%d of %d slots are used", got, limitSlots)
			}
		})
	}
}

// Guards against a limit from the few longest passes, such as those during which a group was
// held, and against one below minSlotFraction.
func TestSlotLimitIsBounded(t *testing.T) {
	limit := slotLimit{bounds: PassBounds{
		Base:        limitBase,
		MaxEventGap: limitGap,
	}}
	limit.observeRunning(limitSlots)
	for i := range 2 * limitPasses {
		pass := 100 * time.Millisecond
		if i%20 == 0 {
			pass = 2 * time.Second
		}
		limit.observePass(pass, limitSlots)
	}
	if got := limit.slots(limitSlots, 0); got != limitSlots {
		t.Errorf("%d of %d slots are used after a few held passes", got, limitSlots)
	}
	for range limitPasses {
		limit.observePass(2*time.Second, limitSlots)
	}
	if got, least := limit.slots(limitSlots, 0), int(minSlotFraction*limitSlots); got < least {
		t.Errorf("%d of %d slots are used, want at least %d", got, limitSlots, least)
	}
}
