package dispatch

import (
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// The urgencies of these tests.
const (
	urgent  = 0
	relaxed = 2
)

// bySharedUse returns a queue of 72 ranks that knows the use by all entries.
func bySharedUse(now time.Time, uses ...UrgencyUse) *queue {
	q := &queue{ranks: limitRanks}
	q.room.observe(uses, now)
	return q
}

// Guards against decisions that change where all requests of a service have one urgency:
// the slots and the quota are those without any room.
func TestRoomChangesNothingWithOneUrgency(t *testing.T) {
	now := time.Now()
	state := &upstreamState{
		slots:     limitSlots,
		slotQuota: 3,
	}
	passes := &passRoom{limit: 5}
	q := bySharedUse(now, UrgencyUse{
		Urgency:  relaxed,
		Running:  700,
		Arrivals: 400,
	})
	q.room.arrive(relaxed, now)
	want := allotment{
		slots: limitSlots,
		quota: 3,
		share: 1,
	}
	got := q.tier(relaxed, now).allotment(state, passes, 1, limitSlots)
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(allotment{})); diff != "" {
		t.Errorf("allotment (-want +got):\n%s", diff)
	}
	if _, _, known := q.room.demand(now); known {
		t.Error("the share of the slots follows the demand, want it to follow the use")
	}
}

// Guards against a burst of less urgent requests that takes the slots which urgent ones need
// a moment later, and against urgent ones that are kept from any slot.
func TestRoomKeepsSlotsForUrgent(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		urgent UrgencyUse
		// most is the number of slots of a rank that less urgent requests may use at most,
		// least that at least.
		most, least int
	}{
		"urgent ones as ever": {
			urgent: UrgencyUse{
				Running:  260,
				Arrivals: 130,
			},
			most:  limitSlots - 1,
			least: limitSlots / 2,
		},
		"urgent ones come twice as often": {
			urgent: UrgencyUse{
				Running:  260,
				Arrivals: 260,
			},
			most:  limitSlots - 260/limitRanks,
			least: 1,
		},
		"no urgent ones": {
			most:  limitSlots,
			least: limitSlots,
		},
		"urgent ones need all slots": {
			urgent: UrgencyUse{
				Running:  100,
				Arrivals: 2000,
			},
			most:  minYieldingSlots,
			least: minYieldingSlots,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := bySharedUse(now, test.urgent, UrgencyUse{
				Urgency:  relaxed,
				Running:  300,
				Arrivals: 300,
			})
			state := &upstreamState{slots: limitSlots}
			got := q.tier(relaxed, now).slots(state, &passRoom{})
			if got > test.most || got < test.least {
				t.Errorf("less urgent requests may use %d slots, want %d to %d", got, test.least, test.most)
			}
			if got := q.tier(urgent, now).slots(state, &passRoom{}); got != limitSlots {
				t.Errorf("urgent requests may use %d slots, want all %d", got, limitSlots)
			}
		})
	}
}

// Guards against an entry that takes its own requests for those of all entries, when
// statuses do not arrive, and against one that relies on an old status.
func TestRoomWithoutStatus(t *testing.T) {
	now := time.Now()
	var r room
	for range 10 {
		r.arrive(urgent, now)
		r.begin(urgent)
	}
	r.observe([]UrgencyUse{{Running: 500}}, now.Add(-2*sharedTTL))
	want := []UrgencyUse{{
		Running:  100,
		Arrivals: 100,
	}}
	if diff := cmp.Diff(want, r.total(0.1, now), cmpopts.EquateApprox(0.01, 0)); diff != "" {
		t.Errorf("use by all entries (-want +got):\n%s", diff)
	}
	r.observe([]UrgencyUse{{Running: 400}}, now)
	r.observe([]UrgencyUse{{Running: 300}}, now.Add(-time.Second)) // overtaken by a later one
	if diff := cmp.Diff([]UrgencyUse{{Running: 400}}, r.total(0.1, now)); diff != "" {
		t.Errorf("use by all entries with a status (-want +got):\n%s", diff)
	}
}

// The passes of a burst: what reading prompts and a request at each rank add, usually and after
// a shift of demand.
const (
	burstPrompts     = 13 * time.Millisecond
	burstUsualCost   = 3000 * time.Microsecond
	burstShiftedCost = 7500 * time.Microsecond
)

// burstBounds are the bounds of the passes of a burst.
var burstBounds = PassBounds{
	Base:        35 * time.Millisecond,
	PerRequest:  2560 * time.Microsecond,
	MaxEventGap: burstGap,
}

// learnBurst lets a passRoom observe passes with few requests, some after shifts of demand.
func learnBurst(p *passRoom) {
	const passesApart = 50
	for i := range 3 * passesApart {
		running := 5.0
		cost := burstUsualCost
		if i%passesApart < 4 {
			cost = burstShiftedCost
		}
		p.observe(burstBounds.Base+burstPrompts+time.Duration(running*float64(cost)), running, burstBounds, limitSlots)
	}
}

// Guards against passes after a shift of demand that make urgent streams late because less
// urgent requests fill all slots: the limit holds before such passes have come with all
// slots in use, and does not count the usual passes.
func TestPassRoomForeseesLongPasses(t *testing.T) {
	var p passRoom
	learnBurst(&p)
	p.setDemand(roomDemand{
		urgent: 4,
		least:  8,
		hold:   2 * time.Second,
	}, burstBounds, limitSlots)
	got := p.requests(limitSlots)
	pass := burstBounds.Base + burstPrompts + time.Duration(got*float64(burstShiftedCost))
	if pass > burstBounds.MaxEventGap {
		t.Errorf("with %.1f requests at each rank a pass takes %s after a shift, want at most %s", got, pass, burstBounds.MaxEventGap)
	}
	if got < limitSlots/2 {
		t.Errorf("%.1f requests at each rank are allowed, want at least half the slots", got)
	}
	if got := new(passRoom).requests(limitSlots); got != limitSlots {
		t.Errorf("%.1f requests are allowed before any pass, want all %d", got, limitSlots)
	}
}

// Guards against a limit that rests on its floor and refuses requests beside free slots: on a
// quiet day each switch of the expert map lengthens one pass as much as many requests would.
func TestPassRoomLeavesWhatIsNeeded(t *testing.T) {
	const (
		running     = 2.5
		switchTime  = 45 * time.Millisecond
		passesApart = 50
	)
	var p passRoom
	for i := range 4 * passesApart {
		d := 72 * time.Millisecond
		switch i % passesApart {
		case 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11:
			d = 108 * time.Millisecond // the experts in demand have changed
		case 12, 13:
			d = 108*time.Millisecond + switchTime
		}
		p.observe(d, running, shiftBounds, shiftSlots)
	}
	for _, need := range []float64{1, running, 3, 3.5} {
		p.setDemand(roomDemand{
			urgent: need / 10,
			least:  need - need/10,
			hold:   1300 * time.Millisecond,
		}, shiftBounds, shiftSlots)
		if got := p.requests(shiftSlots); got < need {
			t.Errorf("%.1f requests at each rank are allowed, want the %.1f that are needed", got, need)
		}
	}
}

// Guards against late requests of the least urgency that wait until they are refused beside
// ranks whose slots are half free: the slots that late requests leave free are kept once, of
// all slots, and not once more of what more urgent requests leave.
func TestLateRequestsLeaveSlotsOnce(t *testing.T) {
	now := time.Now()
	q := bySharedUse(now,
		UrgencyUse{
			Running:  40,
			Arrivals: 30,
		},
		UrgencyUse{
			Urgency:  relaxed,
			Running:  140,
			Arrivals: 260,
		})
	q.room.arrive(relaxed, now)
	const slots, running = 4, 2
	accepted := 0
	for rank := range limitRanks {
		state := &upstreamState{
			phase:          float64(rank) / limitRanks,
			slots:          slots,
			reportedOthers: running,
			reportedAt:     now,
			slotQuota:      1,
			yieldQuota:     1,
		}
		if state.accepts(q.tier(relaxed, now).allotment(state, &passRoom{}, 1, shiftSlots), true, now) {
			accepted++
		}
	}
	if accepted < limitRanks/2 {
		t.Errorf("%d of %d ranks with %d of %d slots taken accept a late request, want at least half", accepted, limitRanks, running, slots)
	}
}

// Guards against a burst that makes passes too long although ranks keep to the limit by passes:
// more urgent requests and other entries put some above it, and the least urgent ones fill the
// others up to it. The length of a pass follows the requests of all ranks.
func TestLeastUrgentKeepMeanOfRequests(t *testing.T) {
	tests := map[string]struct {
		loads [2]int // of every other rank
		want  bool   // whether the least urgent may take slots
	}{
		"mean above the limit": {
			loads: [2]int{10, 6},
		},
		"mean below the limit": {
			loads: [2]int{8, 5},
			want:  true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newShiftModel(limitRanks, limitSlots)
			s := m.entries[0]
			q := s.queue("")
			group := q.group("g0")
			group.slotLimit.bounds = burstBounds
			group.slotLimit.bounds.MaxEventGap = 105 * time.Millisecond // for about 7 requests
			group.maxSlots = limitSlots
			learnBurst(&group.passRoom)
			loads := make(map[foxtailstack.Address]RankLoad)
			for i, u := range s.Fleet().Ready("") {
				loads[u.Address] = RankLoad{Load: exchange.Load{Running: test.loads[i%2]}}
			}
			q.room.arrive(relaxed, time.Now())
			s.ObserveUrgencyUse("", []UrgencyUse{
				{
					Running:  250,
					Arrivals: 130,
				},
				{
					Urgency:  relaxed,
					Running:  300,
					Arrivals: 320,
				},
			}, 0)
			s.ObserveGroup("", "g0", loads, 0)
			quota := 0
			for _, state := range s.upstreams {
				quota += state.yieldQuota
			}
			if got := quota > 0; got != test.want {
				t.Errorf("the least urgent may take %d slots, want some: %t", quota, test.want)
			}
		})
	}
}
